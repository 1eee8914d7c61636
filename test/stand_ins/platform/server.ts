/** The platform's key-value service and VM list over HTTP. */

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
  handle,
  listen,
  type Listening,
  readFields,
  sendJson,
} from "../http.ts";

/** The platform that listens, with its data at hand for tests. */
export interface PlatformServer extends Listening {
  readonly platform: MemoryPlatform;
}

/** Starts the platform stand-in; docs/PLATFORM.md describes its calls. */
export async function startPlatform(
  options: { readonly port: number; readonly address?: string },
): Promise<PlatformServer> {
  const platform = createMemoryPlatform();
  const server = createServer();

  server.get(
    "/kv/entry",
    handle(async (request, response) => {
      const key = getQuery(request).get("key") ?? "";
      const result = await platform.get(key);
      answer(response, result.map((entry) => ({ entry: entry ?? null })));
    }),
  );
  server.get(
    "/kv/entries",
    handle(async (request, response) => {
      const query = getQuery(request);
      const result = await platform.list(query.get("prefix") ?? "", {
        after: query.get("after") ?? "",
        limit: Number(query.get("limit") ?? 100),
      });
      answer(response, result.map((entries) => ({ entries })));
    }),
  );
  server.get(
    "/kv/watch",
    handle(async (request, response) => {
      const query = getQuery(request);
      const result = await platform.watch(query.get("prefix") ?? "", {
        afterRevision: Number(query.get("after") ?? 0),
        waitMs: Number(query.get("wait") ?? 0),
      });
      answer(response, result.map((events) => ({ events })));
    }),
  );
  server.post("/kv/put", handle(put));
  server.post("/kv/remove", handle(remove));
  server.post("/kv/leases", handle(createLease));
  server.post("/kv/leases/renew", handle(renewLease));
  server.get(
    "/vms",
    handle(async (_request, response) => {
      const result = await platform.listVms();
      answer(response, result.map((vms) => ({ vms })));
    }),
  );
  server.get(
    "/faults",
    handle((_request, response) => {
      sendJson(response, platform.serviceFaults);
    }),
  );
  server.post(
    "/faults",
    handle(async (request, response) => {
      setFaults(platform.serviceFaults, await readFields(request));
      sendJson(response, platform.serviceFaults);
    }),
  );
  server.get(
    "/faults/calls",
    handle((_request, response) => {
      sendJson(response, platform.getCalls());
    }),
  );
  server.post(
    "/faults/vms",
    handle(async (request, response) => {
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
    answer(response, result.map((revision) => ({ revision })));
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
    answer(response, result.map(() => ({})));
  }

  async function createLease(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = await platform.createLease(getNumber(fields, "ttlMs"));
    answer(response, result.map((lease) => ({ lease })));
  }

  async function renewLease(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const fields = await readFields(request);
    const result = await platform.renewLease(getText(fields, "lease"));
    answer(response, result.map(() => ({})));
  }
}

/** Sends a result; a lost answer closes the connection without one. */
function answer(
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

/** Sets the faults that the fields name; others stay. */
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
