/** Reads the platform's settings file into the router's settings. */

import { Either, Left, Right } from "purify-ts";
import { parse } from "yaml";
import type {
  DirectSettings,
  SocketAddress,
} from "../types/direct_settings.ts";
import {
  type Fields,
  getList,
  getNumber,
  tryGetFields,
  tryGetText,
} from "./fields.ts";

/** Values that hold where the file has none; the platform's usual ones. */
const fallbacks = {
  loadMultiple: 2,
  retryRatio: 0.2,
  retrySlack: 50,
  retryWindowS: 10,
  graceS: 8,
  lapseReturnMs: 2_200,
} as const;

/** Port of the metrics, as deploy/system.toml names it. */
const metricsPort = 9_464;

/** Checks the text of the file; the error names the field at fault. */
export function readNodeSettings(text: string): Either<string, DirectSettings> {
  return Either.encase(() => tryGetFields(parse(text)) ?? {})
    .mapLeft((error) => `The settings are not YAML: ${error.message}`)
    .chain(toSettings);
}

function toSettings(fields: Fields): Either<string, DirectSettings> {
  const listen = tryGetFields(fields["Listen"]) ?? {};
  const bounds = tryGetFields(fields["Bounds"]) ?? {};
  const platform = tryGetFields(fields["Platform"]) ?? {};
  const id = tryGetText(fields, "NodeName");
  const address = tryGetText(fields, "Ip");
  const front = tryGetAddress(listen["Front"]);
  const readiness = tryGetAddress(listen["ReadyAddr"]);
  const control = tryGetAddress(listen["Control"]);
  const store = tryGetText(platform, "Address");
  const [firstPort, secondPort] = getList(fields["PortRange"]);
  if (id === undefined) return Left("NodeName must be a text");
  if (address === undefined) return Left("Ip must be an IP number");
  if (front === undefined) return Left("Listen.Front must be IP:PORT");
  if (readiness === undefined) return Left("Listen.ReadyAddr must be IP:PORT");
  if (store === undefined) return Left("Platform.Address must be IP:PORT");
  if (typeof firstPort !== "number" || typeof secondPort !== "number") {
    return Left("PortRange must hold two ports");
  }
  return Right({
    id,
    zone: tryGetText(fields, "Zone") ?? "",
    front,
    readiness,
    pull: control ?? { address, port: firstPort + 1 },
    digest: { address, port: firstPort },
    metrics: { address, port: metricsPort },
    seeds: getList(fields["Seeds"]).flatMap((seed) =>
      tryGetAddress(seed) ?? []
    ),
    store: `http://${store}`,
    loadMultiple: getNumber(bounds, "CapFactor", fallbacks.loadMultiple),
    retries: {
      ratio: getNumber(bounds, "RetryRatio", fallbacks.retryRatio),
      slack: getNumber(bounds, "RetrySlack", fallbacks.retrySlack),
      windowMs: 1_000 *
        getNumber(bounds, "RetryWindowS", fallbacks.retryWindowS),
    },
    graceMs: 1_000 * getNumber(bounds, "GraceS", fallbacks.graceS),
    lapseReturnMs: fallbacks.lapseReturnMs,
  });
}

function tryGetAddress(value: unknown): SocketAddress | undefined {
  if (typeof value !== "string") return undefined;
  const at = value.lastIndexOf(":");
  const port = Number(value.slice(at + 1));
  if (at <= 0 || !Number.isInteger(port) || port <= 0) return undefined;
  return { address: value.slice(0, at), port };
}
