/** The relay, whose links are created and cut over HTTP. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Request } from "polka";
import {
  createServer,
  type Fields,
  getNumber,
  getText,
  listen,
  readFields,
  sendJson,
  type ServerHandle,
  toMiddleware,
} from "../http.ts";
import { createLink, type Cut, type Link } from "./link.ts";
import { type LinkEndpoints, type Relay, startTcpRelay } from "./tcp.ts";
import { startUdpRelay } from "./udp.ts";

/** A link with its running relay. */
interface LinkEntry {
  readonly link: Link;
  readonly relay: Relay;
  readonly endpoints: LinkEndpoints;
  /** Protocol of the link: tcp or udp. */
  readonly kind: string;
}

const starters: Readonly<
  Record<string, (endpoints: LinkEndpoints, link: Link) => Promise<Relay>>
> = { tcp: startTcpRelay, udp: startUdpRelay };

const validCuts: readonly string[] = [
  "none",
  "to_target",
  "from_target",
  "both",
];

/** Starts the control server of a relay without links. */
export async function startRelay(
  options: { readonly port: number; readonly address?: string },
): Promise<ServerHandle> {
  const links = new Map<string, LinkEntry>();
  const server = createServer();
  server.get(
    "/links",
    toMiddleware((_request, response) => {
      sendJson(response, { links: [...links].map(describe) });
    }),
  );
  server.post("/links", toMiddleware(addLink));
  server.post("/links/:name/state", toMiddleware(setState));
  server.post(
    "/links/:name/reset",
    toMiddleware((request, response) => {
      getLinkEntry(request).relay.reset();
      sendJson(response, {});
    }),
  );
  const listening = await listen(server, options);
  return { port: listening.port, close };

  async function addLink(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const kind = getText(fields, "kind");
    const start = starters[kind];
    if (start === undefined) throw new Error("kind must be tcp or udp");
    const endpoints = parseEndpoints(fields);
    const link = createLink();
    const relay = await start(endpoints, link);
    links.set(getText(fields, "name"), { link, relay, endpoints, kind });
    sendJson(response, { port: relay.port });
  }

  async function setState(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { link } = getLinkEntry(request);
    const fields = await readFields(request);
    const cut = getText(fields, "cut") || link.getState().cut;
    if (!validCuts.includes(cut)) throw new Error("cut must name a direction");
    link.setState({
      cut: cut as Cut,
      delayMs: getNumber(fields, "delayMs", link.getState().delayMs),
    });
    sendJson(response, link.getState());
  }

  function getLinkEntry(request: IncomingMessage): LinkEntry {
    const linkEntry = links.get((request as Request).params["name"] ?? "");
    if (linkEntry === undefined) throw new Error("There is no such link");
    return linkEntry;
  }

  async function close(): Promise<void> {
    await Promise.all([...links.values()].map(({ relay }) => relay.close()));
    await listening.close();
  }
}

function parseEndpoints(fields: Fields): LinkEndpoints {
  return {
    address: getText(fields, "address") || "127.0.0.1",
    port: getNumber(fields, "port"),
    targetAddress: getText(fields, "targetAddress") || "127.0.0.1",
    targetPort: getNumber(fields, "targetPort"),
  };
}

function describe([name, linkEntry]: [string, LinkEntry]): object {
  return {
    name,
    kind: linkEntry.kind,
    ...linkEntry.endpoints,
    port: linkEntry.relay.port,
    ...linkEntry.link.getState(),
  };
}
