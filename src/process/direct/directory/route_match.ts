/** Finds the route of a request and the service that serves it. */

import { type Either, Left, Right } from "purify-ts";
import { createReport, type Report } from "../../../types/diagnostics.ts";
import type {
  DirectRoute,
  KeyHolder,
  RouteTable,
} from "../../../types/route_table.ts";

/** Matches requests against the routes of one configuration version. */
export interface RouteMatcher {
  readonly table: RouteTable;
  /** Finds the route and checks the key; reports why there is no match. */
  match(request: {
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
  }): Either<Report, RouteMatch>;
  /** Finds the route of a path, the one with the longest prefix. */
  tryFindRoute(host: string, path: string): DirectRoute | undefined;
}

/** The route of a request and the workspace of its key. */
export interface RouteMatch {
  readonly route: DirectRoute;
  /** Workspace that the key belongs to; undefined when none is needed. */
  readonly holder: KeyHolder | undefined;
}

/** Creates the matcher of one configuration version. */
export function createRouteMatcher(table: RouteTable): RouteMatcher {
  const routesByHost = new Map<string, Map<string, DirectRoute>>();
  for (const route of table.routes) {
    const routes = routesByHost.get(route.host) ?? new Map();
    routes.set(route.prefix, route);
    routesByHost.set(route.host, routes);
  }

  return { table, match, tryFindRoute };

  function match(
    { host, path, key }: {
      readonly host: string;
      readonly path: string;
      readonly key: string | undefined;
    },
  ): Either<Report, RouteMatch> {
    const route = tryFindRoute(host, path);
    if (route === undefined) return Left(createReport("not_found", { path }));
    if (route.isPublic || table.keys === undefined) {
      return Right({ route, holder: undefined });
    }
    const holder = key === undefined ? undefined : table.keys.get(key);
    return holder === undefined
      ? Left(createReport("unknown_key"))
      : Right({ route, holder });
  }

  /** Looks up the prefixes of the path, the longest first. */
  function tryFindRoute(host: string, path: string): DirectRoute | undefined {
    const routes = routesByHost.get(host);
    if (routes === undefined) return undefined;
    const [plainPath = ""] = path.split("?", 1);
    let end = plainPath.lastIndexOf("/");
    while (end >= 0) {
      const route = routes.get(plainPath.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : plainPath.lastIndexOf("/", end - 1);
    }
    return undefined;
  }
}

/** Draws the service of a request by the weights of the route's shares. */
export function drawService(
  route: DirectRoute,
  random: number,
): string | undefined {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random * total;
  for (const { service, weight } of route.shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.shares.at(-1)?.service;
}
