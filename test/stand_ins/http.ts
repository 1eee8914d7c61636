/** HTTP helpers of the stand-ins. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";

/** A JSON object that was received and is not checked yet. */
export type Fields = Readonly<Record<string, unknown>>;

/** A server that listens: its port and how to close it. */
export interface ServerHandle {
  readonly port: number;
  close(): Promise<void>;
}

/** Maximum size of a request body, in bytes. */
const maxBodyBytes = 16 * 1024 * 1024;

/** Reads the whole body of a request. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request) {
    length += (chunk as Buffer).length;
    if (length > maxBodyBytes) throw new Error("The body is too large");
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}

/** Reads a body as a JSON object; an empty body is an empty object. */
export async function readFields(request: IncomingMessage): Promise<Fields> {
  const body = await readBody(request);
  if (body.length === 0) return {};
  const value: unknown = JSON.parse(body.toString("utf8"));
  if (typeof value !== "object" || value === null) {
    throw new Error("The body is no object");
  }
  return value as Fields;
}

/** Sends a JSON response; the default status is 200. */
export function sendJson(
  response: ServerResponse,
  value: unknown,
  options: { readonly status?: number } = {},
): void {
  const body = JSON.stringify(value);
  response.writeHead(options.status ?? 200, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Returns the query parameters of a request. */
export function getQuery(request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? "/", "http://localhost").searchParams;
}

/** Returns a string field, empty when it is absent. */
export function getText(fields: Fields, name: string): string {
  const value = fields[name];
  return typeof value === "string" ? value : "";
}

/** Returns a number field, or a default when it is absent. */
export function getNumber(
  fields: Fields,
  name: string,
  defaultValue = 0,
): number {
  const value = fields[name];
  return typeof value === "number" ? value : defaultValue;
}

/** Handles one request; an error that it throws is sent with status 400. */
export type Handler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Creates a polka server that responds to errors of handlers with 400. */
export function createServer(
  options: { readonly onNoMatch?: Handler } = {},
): polka.Polka {
  return polka({
    onNoMatch: (request, response) => {
      runHandler(options.onNoMatch ?? sendNotFound, request, response);
    },
    onError: (error, _request, response) => sendError(response, error),
  });
}

/** Converts a handler to a middleware that sends its errors to the caller. */
export function toMiddleware(handler: Handler): polka.Middleware {
  return (request, response) => runHandler(handler, request, response);
}

function runHandler(
  handler: Handler,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  Promise.resolve()
    .then(() => handler(request, response))
    .catch((error) => sendError(response, error));
}

function sendError(response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const message = error instanceof Error ? error.message : String(error);
  sendJson(response, { message }, { status: 400 });
}

function sendNotFound(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  sendJson(response, { message: "Not found" }, { status: 404 });
}

/** Listens on a port of the loopback address by default; 0 picks a free one. */
export function listen(
  server: polka.Polka,
  options: { readonly address?: string; readonly port: number },
): Promise<ServerHandle> {
  return new Promise((resolve, reject) => {
    server.listen(options.port, options.address ?? "127.0.0.1", () => {
      const httpServer = server.server as Server;
      httpServer.keepAliveTimeout = 60_000;
      const { port } = httpServer.address() as AddressInfo;
      resolve({ port, close: () => close(httpServer) });
    });
    server.server?.on("error", reject);
  });
}

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
