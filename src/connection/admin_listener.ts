/** The HTTP listener for operators, scrapers and health checks. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import polka from "polka";
import {
  createReport,
  formatReport,
  getDiagnostic,
  type Report,
} from "../types/diagnostics.ts";

/** The response to an operator's call. */
export type AdminResponse =
  | { readonly kind: "json"; readonly status: number; readonly body: unknown }
  | { readonly kind: "text"; readonly status: number; readonly body: string }
  | { readonly kind: "reports"; readonly reports: readonly Report[] };

/** An operator's call whose body has been read. */
export interface AdminCall {
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** The parsed JSON body; undefined when the body is empty. */
  readonly body: unknown;
}

/** One route of the listener. */
export interface AdminRoute {
  readonly method: "GET" | "POST";
  readonly path: string;
  handle(call: AdminCall): AdminResponse | Promise<AdminResponse>;
}

/** An open listener. */
export interface AdminListener {
  /** The bound port; the system chooses it when port 0 is requested. */
  readonly port: number;
  close(): Promise<void>;
}

/** Maximum size of a call's body, in bytes. */
const maxBodyBytes = 1_048_576;

/** Time in which a whole call must arrive, in milliseconds. */
const requestTimeoutMs = 10_000;

/** Opens the listener; rejects when the address cannot be bound. */
export async function openAdminListener(
  routes: readonly AdminRoute[],
  options: { readonly address: string; readonly port: number },
): Promise<AdminListener> {
  const app = polka({
    onNoMatch: (request, response) =>
      send(response, {
        kind: "reports",
        reports: [createReport("not_found", { path: request.path })],
      }),
  });
  for (const route of routes) {
    app.add(route.method, route.path, (request, response) => {
      void handleCall(route, {
        request,
        response,
        params: request.params as Record<string, string>,
        query: new URL(request.url, "http://localhost").searchParams,
      });
    });
  }
  app.listen(options.port, options.address);
  const server = app.server as Server;
  server.requestTimeout = requestTimeoutMs;
  await waitForListening(server);
  const { port } = server.address() as AddressInfo;
  return { port, close: () => closeServer(server) };
}

async function handleCall(
  route: AdminRoute,
  call: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly params: Readonly<Record<string, string>>;
    readonly query: URLSearchParams;
  },
): Promise<void> {
  try {
    const body = await readBody(call.request);
    if (body.kind === "refused") {
      send(call.response, { kind: "reports", reports: [body.report] });
      return;
    }
    const { params, query } = call;
    send(
      call.response,
      await route.handle({ params, query, body: body.value }),
    );
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    send(call.response, {
      kind: "json",
      status: 500,
      body: { errors: [{ code: "internal", message: text }] },
    });
  }
}

type ParsedBody =
  | { readonly kind: "read"; readonly value: unknown }
  | { readonly kind: "refused"; readonly report: Report };

async function readBody(request: IncomingMessage): Promise<ParsedBody> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    const data = chunk as Buffer;
    size += data.length;
    if (size <= maxBodyBytes) chunks.push(data);
  }
  if (size > maxBodyBytes) {
    const report = createReport("body_too_large", { limit: maxBodyBytes });
    return { kind: "refused", report };
  }
  if (size === 0) return { kind: "read", value: undefined };
  try {
    const text = Buffer.concat(chunks).toString("utf8");
    return { kind: "read", value: JSON.parse(text) };
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return { kind: "refused", report: createReport("bad_json", { reason }) };
  }
}

function send(response: ServerResponse, result: AdminResponse): void {
  if (result.kind === "text") {
    response.writeHead(result.status, { "content-type": "text/plain" });
    response.end(result.body);
    return;
  }
  const status = result.kind === "json"
    ? result.status
    : getReportsStatus(result.reports);
  const body = result.kind === "json"
    ? result.body
    : { errors: result.reports.map(toErrorBody) };
  response.writeHead(status, { "content-type": "application/json" });
  response.end(`${JSON.stringify(body)}\n`);
}

function getReportsStatus(reports: readonly Report[]): number {
  const first = reports[0];
  return first === undefined ? 500 : getDiagnostic(first.code).status;
}

function toErrorBody(report: Report): unknown {
  return {
    code: report.code,
    message: formatReport(report),
    values: report.values,
    retryAfterMs: report.retryAfterMs,
  };
}

function waitForListening(server: Server): Promise<void> {
  return new Promise((resolve, reject) => {
    if (server.listening) {
      resolve();
      return;
    }
    server.once("listening", resolve);
    server.once("error", reject);
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
