/** Serves the platform's key-value store and VM list over HTTP. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Either } from "purify-ts";
import type { PlatformError, Vm } from "../../../src/types/platform.ts";
import {
  createMemoryPlatform,
  type Faults,
  type MemoryPlatform,
} from "../../fakes/memory_platform.ts";
import {
  createServer,
  type Fields,
  getNumber,
  getQuery,
  getText,
  listen,
  readFields,
  sendJson,
  type ServerHandle,
  toMiddleware,
} from "../http.ts";

/** A platform that listens, with its data exposed to tests. */
export interface PlatformServer extends ServerHandle {
  readonly platform: MemoryPlatform;
}

/** Starts the platform stand-in; docs/PLATFORM.md describes its API. */
export async function startPlatform(
  options: { readonly port: number; readonly address?: string },
): Promise<PlatformServer> {
  const platform = createMemoryPlatform();
  const server = createServer();

  server.get(
    "/kv/entry",
    toMiddleware(async (request, response) => {
      const key = getQuery(request).get("key") ?? "";
      const result = await platform.get(key);
      sendResult(response, result.map((entry) => ({ entry: entry ?? null })));
    }),
  );
  server.get(
    "/kv/entries",
    toMiddleware(async (request, response) => {
      const query = getQuery(request);
      const result = await platform.list(query.get("prefix") ?? "", {
        after: query.get("after") ?? "",
        limit: Number(query.get("limit") ?? 100),
      });
      sendResult(response, result.map((entries) => ({ entries })));
    }),
  );
  server.get(
    "/kv/watch",
    toMiddleware(async (request, response) => {
      const query = getQuery(request);
      const result = await platform.watch(query.get("prefix") ?? "", {
        afterRevision: Number(query.get("after") ?? 0),
        waitMs: Number(query.get("wait") ?? 0),
      });
      sendResult(response, result.map((events) => ({ events })));
    }),
  );
  server.post("/kv/put", toMiddleware(put));
  server.post("/kv/remove", toMiddleware(remove));
  server.post("/kv/leases", toMiddleware(createLease));
  server.post("/kv/leases/renew", toMiddleware(renewLease));
  server.get(
    "/vms",
    toMiddleware(async (_request, response) => {
      const result = await platform.listVms();
      sendResult(response, result.map((vms) => ({ vms })));
    }),
  );
  server.get(
    "/faults",
    toMiddleware((_request, response) => {
      sendJson(response, platform.serviceFaults);
    }),
  );
  server.post(
    "/faults",
    toMiddleware(async (request, response) => {
      setFaults(platform.serviceFaults, await readFields(request));
      sendJson(response, platform.serviceFaults);
    }),
  );
  server.get(
    "/faults/calls",
    toMiddleware((_request, response) => {
      sendJson(response, platform.getCalls());
    }),
  );
  server.post(
    "/faults/vms",
    toMiddleware(async (request, response) => {
      const { vms } = await readFields(request);
      platform.setVms(Array.isArray(vms) ? vms as Vm[] : []);
      sendJson(response, {});
    }),
  );

  const listening = await listen(server, options);
  return { ...listening, platform };

  async function put(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const lease = getText(fields, "lease");
    const result = await platform.put(
      getText(fields, "key"),
      getText(fields, "value"),
      {
        expectedRevision: getNumber(fields, "expectedRevision"),
        ...(lease === "" ? {} : { lease }),
      },
    );
    sendResult(response, result.map((revision) => ({ revision })));
  }

  async function remove(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = await platform.remove(
      getText(fields, "key"),
      getNumber(fields, "expectedRevision"),
    );
    sendResult(response, result.map(() => ({})));
  }

  async function createLease(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = await platform.createLease(getNumber(fields, "ttlMs"));
    sendResult(response, result.map((lease) => ({ lease })));
  }

  async function renewLease(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = await platform.renewLease(getText(fields, "lease"));
    sendResult(response, result.map(() => ({})));
  }
}

/** Sends a result, or closes the connection if the outcome is unknown. */
function sendResult(
  response: ServerResponse,
  result: Either<PlatformError, unknown>,
): void {
  result.caseOf({
    Right: (value) => sendJson(response, value),
    Left: (error) => {
      if (error.kind === "unknown") {
        response.destroy();
        return;
      }
      const status = error.kind === "conflict" ? 409 : 503;
      sendJson(response, error, { status });
    },
  });
}

/** Sets the faults that are in the fields and keeps the others. */
function setFaults(faults: Faults, fields: Fields): void {
  faults.outage = fields["outage"] === undefined
    ? faults.outage
    : fields["outage"] === true;
  faults.delayMs = getNumber(fields, "delayMs", faults.delayMs);
  faults.lostAnswers = getNumber(fields, "lostAnswers", faults.lostAnswers);
  faults.lostRequests = getNumber(fields, "lostRequests", faults.lostRequests);
  faults.lostPrefix = typeof fields["lostPrefix"] === "string"
    ? fields["lostPrefix"]
    : faults.lostPrefix;
  faults.readsPerSecond = getNumber(
    fields,
    "readsPerSecond",
    faults.readsPerSecond,
  );
  faults.writesPerSecond = getNumber(
    fields,
    "writesPerSecond",
    faults.writesPerSecond,
  );
  faults.vmLagMs = getNumber(fields, "vmLagMs", faults.vmLagMs);
}
