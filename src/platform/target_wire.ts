/** Encodes calls to targets and decodes the heads of their answers. */

import type { TargetCodec } from "../connection/direct_client.ts";
import type { DirectCall, ReportedLoad } from "../types/direct_calls.ts";
import type { PromptPart } from "../types/prompt.ts";
import type { Header } from "../types/work.ts";
import { getList, tryGetFields } from "./fields.ts";
import { cachedPartsPath, headerNames } from "./wire_names.ts";

/** Headers of an answer that belong to its connection. */
const connectionHeaders: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "content-length",
  "upgrade",
  "te",
  "trailer",
]);

/** Statuses by which a target says that it has not run a request. */
const wrongTargetStatus = 421;

/** How targets are spoken to. */
export const targetWire: TargetCodec = {
  encodeHeaders,
  decodeHead,
  partsPath: cachedPartsPath,
  decodeParts,
};

function encodeHeaders(call: DirectCall): string[] {
  const headers = call.headers.flatMap(({ name, value }) => [name, value]);
  add(headerNames.requestId, call.requestId);
  add(headerNames.deadline, String(Math.max(1, Math.floor(call.deadlineMs))));
  add(headerNames.expectedTarget, call.target.id);
  add(headerNames.workspace, call.workspace);
  add(headerNames.priorityClass, String(call.priorityClass));
  add(headerNames.fetchFrom, call.fetchFrom);
  add(headerNames.lastEventId, call.lastEventId);
  return headers;

  function add(name: string, value: string | undefined): void {
    if (value !== undefined) headers.push(name, value);
  }
}

function decodeHead(
  status: number,
  rawHeaders: readonly Header[],
  call: DirectCall,
): ReturnType<TargetCodec["decodeHead"]> {
  const headers = new Map(
    rawHeaders.map(({ name, value }) => [name.toLowerCase(), value]),
  );
  if (status === wrongTargetStatus) return { kind: "wrong_target" };
  if (headers.has(headerNames.notRun)) return { kind: "refused", status };
  if (headers.get(headerNames.requestId) !== call.requestId) {
    return spoil("The answer bears another request's id");
  }
  if (!headers.has(headerNames.signature)) {
    return spoil("The answer bears no signature of a target");
  }
  if (headers.has("content-encoding")) {
    return spoil("The answer has an encoding that was not asked for");
  }
  const length = headers.get("content-length");
  return {
    kind: "head",
    head: {
      status,
      headers: rawHeaders.filter(({ name }) =>
        !connectionHeaders.has(name.toLowerCase())
      ),
      isEventStream: status === 200 &&
        (headers.get("content-type") ?? "").startsWith("text/event-stream"),
      length: length === undefined ? undefined : Number(length),
      load: tryReadLoad(headers.get(headerNames.load)),
    },
  };
}

function spoil(reason: string): ReturnType<TargetCodec["decodeHead"]> {
  return { kind: "spoiled", reason };
}

/** Three numbers: running, waiting, slots. */
function tryReadLoad(text: string | undefined): ReportedLoad | undefined {
  const [running, waiting, slots] = (text ?? "").split(",").map(Number);
  if (running === undefined || waiting === undefined || slots === undefined) {
    return undefined;
  }
  return { running, waiting, slots };
}

/** Each row holds an empty text, the part's id, its tokens and the model. */
function decodeParts(body: string): readonly PromptPart[] {
  const { held } = tryGetFields(JSON.parse(body)) ?? {};
  return getList(held).flatMap((row) => {
    const [, id, tokens] = getList(row);
    return typeof id === "string" && typeof tokens === "number"
      ? [{ id, tokens }]
      : [];
  });
}
