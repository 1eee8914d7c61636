/** The cutting relay: its paths are made and cut over HTTP. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import {
  createServer,
  type Fields,
  getNumber,
  getText,
  handle,
  listen,
  type Listening,
  readFields,
  sendJson,
} from "../http.ts";
import { createLink, type Cut, type Link } from "./link.ts";
import { type Path, type Relay, startTcpRelay } from "./tcp.ts";
import { startUdpRelay } from "./udp.ts";

interface HeldLink {
  readonly link: Link;
  readonly relay: Relay;
  readonly path: Path;
  readonly kind: string;
}

const starters: Readonly<
  Record<string, (path: Path, link: Link) => Promise<Relay>>
> = { tcp: startTcpRelay, udp: startUdpRelay };

const cuts: readonly string[] = ["none", "to_target", "from_target", "both"];

/** Starts the relay's control port; it has no paths yet. */
export async function startRelay(
  options: { readonly port: number; readonly address?: string },
): Promise<Listening> {
  const links = new Map<string, HeldLink>();
  const server = createServer();
  server.get(
    "/links",
    handle((_request, response) => {
      sendJson(response, { links: [...links].map(describe) });
    }),
  );
  server.post("/links", handle(add));
  server.post("/links/:name/state", handle(setState));
  server.post(
    "/links/:name/reset",
    handle((request, response) => {
      getLink(request).relay.reset();
      sendJson(response, {});
    }),
  );
  const listening = await listen(server, options);
  return { port: listening.port, close };

  async function add(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const kind = getText(fields, "kind");
    const start = starters[kind];
    if (start === undefined) throw new Error("kind must be tcp or udp");
    const path = readPath(fields);
    const link = createLink();
    const relay = await start(path, link);
    links.set(getText(fields, "name"), { link, relay, path, kind });
    sendJson(response, { port: relay.port });
  }

  async function setState(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { link } = getLink(request);
    const fields = await readFields(request);
    const cut = getText(fields, "cut") || link.getState().cut;
    if (!cuts.includes(cut)) throw new Error("cut must name a direction");
    link.setState({
      cut: cut as Cut,
      delayMs: getNumber(fields, "delayMs", link.getState().delayMs),
    });
    sendJson(response, link.getState());
  }

  function getLink(request: IncomingMessage): HeldLink {
    const held = links.get((request as Request).params["name"] ?? "");
    if (held === undefined) throw new Error("There is no such link");
    return held;
  }

  async function close(): Promise<void> {
    await Promise.all([...links.values()].map(({ relay }) => relay.close()));
    await listening.close();
  }
}

function readPath(fields: Fields): Path {
  return {
    address: getText(fields, "address") || "127.0.0.1",
    port: getNumber(fields, "port"),
    targetAddress: getText(fields, "targetAddress") || "127.0.0.1",
    targetPort: getNumber(fields, "targetPort"),
  };
}

function describe([name, held]: [string, HeldLink]): object {
  return {
    name,
    kind: held.kind,
    ...held.path,
    port: held.relay.port,
    ...held.link.getState(),
  };
}
