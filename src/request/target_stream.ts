/**
 * Reads the body of a target's response. A resumable event stream is yielded in
 * complete events. When the connection to a live engine breaks, the stream is
 * resumed at the next event, so that bytes of two runs are never mixed. Only the
 * same stream is taken as its continuation.
 */

import {
  type TargetClient,
  type TargetResponse,
  toTargetError,
} from "../connection/target_client.ts";
import {
  createLimitError,
  isLimitError,
  maxResponseBytes,
} from "../connection/response_limits.ts";
import { isEventStream } from "../types/response.ts";
import { createByteCollector } from "./byte_collector.ts";
import { waitUnlessAborted } from "./settlement.ts";

/** Header in which an engine sends the id of a resumable stream. */
const streamIdHeader = "x-stream-id";

/** Maximum number of consecutive resumptions without a new event. */
const maxIdleResumes = 2;

/** Delay before a connection that could not be opened is tried again, in ms. */
const reconnectDelayMs = 200;

/** Start of an event: the name of a field, or a colon before a comment. */
const eventStart = /^(?:data|event|id|retry)?:/;

/** Bytes at the start of an event that show whether it is one. */
const eventStartBytes = 8;

/** The reason for its end in the event that finishes a chat. */
const finishReason = /"finish_reason"\s*:\s*"/;

/** Maximum size of an event, in bytes; engines send no larger ones. */
const maxEventBytes = 1_048_576;

/** Bytes of an event's end that may come before its last one. */
const maxSplitBytes = 2;

/** Line feed; an empty line ends an event. */
const lineFeed = 10;

/** Carriage return, which may precede a line feed. */
const carriageReturn = 13;

/** What a stream needs from the process. */
export interface TargetStreamHost {
  readonly target: Pick<TargetClient, "resume">;
  /** Resolves to true when the target that broke the connection has crashed. */
  checkCrash(): Promise<boolean>;
}

/** Returns the id of a resumable stream, or undefined when it has none. */
export function tryGetStreamId(response: TargetResponse): string | undefined {
  return response.headers.find(({ name }) => name === streamIdHeader)?.value;
}

/** Yields the body; throws errors that `toTargetError` can convert. */
export async function* readTargetStream(
  host: TargetStreamHost,
  response: TargetResponse,
  signal: AbortSignal,
): AsyncGenerator<Uint8Array, void> {
  const id = tryGetStreamId(response);
  if (id === undefined || !isEventStream(response.headers)) {
    yield* response.body;
    return;
  }
  let body = response.body;
  let isResumed = false;
  let isFinished = false;
  let events = 0;
  let bytes = 0;
  let idleResumes = 0;
  while (true) {
    const eventsBefore = events;
    try {
      for await (const chunk of splitEvents(body)) {
        if (isResumed && !isEventStart(chunk.data)) {
          throw new Error("The resumed stream starts inside an event");
        }
        isResumed = false;
        events += chunk.events;
        bytes += chunk.data.byteLength;
        if (bytes > maxResponseBytes) throw createLimitError("response_bytes");
        isFinished ||= finishReason.test(Buffer.from(chunk.data).toString());
        yield chunk.data;
      }
      return;
    } catch (error) {
      idleResumes = events > eventsBefore ? 0 : idleResumes + 1;
      if (toTargetError(error).kind === "aborted") throw error;
      if (isLimitError(error)) throw error;
      // Engines count an offset in tokens, so one behind the last token brings
      // the event that finishes the stream again.
      if (isFinished) throw error;
      if (idleResumes > maxIdleResumes) throw error;
      const resumed = await tryResume(host, { id, offset: events, signal });
      if (resumed === undefined) throw error;
      body = resumed.body;
      isResumed = true;
    }
  }
}

/** Which stream is resumed, and where. */
interface ResumeOptions {
  readonly id: string;
  readonly offset: number;
  readonly signal: AbortSignal;
}

/**
 * Resumes a stream of a target that has not crashed. A connection that cannot be
 * opened is tried again, as the target may still run the stream.
 */
async function tryResume(
  host: TargetStreamHost,
  options: ResumeOptions,
): Promise<TargetResponse | undefined> {
  for (let calls = 0; calls <= maxIdleResumes; calls++) {
    await waitUnlessAborted(calls * reconnectDelayMs, options.signal);
    if (await host.checkCrash()) return undefined;
    const resumed = await callResume(host, options);
    if (resumed !== "not_sent") return resumed;
  }
  return undefined;
}

/**
 * Calls the target to resume a stream; returns undefined, and ends the call, when
 * the response isn't the continuation of the stream.
 */
async function callResume(
  host: TargetStreamHost,
  { id, offset, signal }: ResumeOptions,
): Promise<TargetResponse | "not_sent" | undefined> {
  const controller = new AbortController();
  const resumed = await host.target.resume({
    id,
    offset,
    signal: AbortSignal.any([signal, controller.signal]),
  }).run();
  return resumed.caseOf<TargetResponse | "not_sent" | undefined>({
    Left: ({ kind }) => kind === "not_sent" ? kind : undefined,
    Right: (response) => {
      if (isSameStream(response, id)) return response;
      controller.abort();
      return undefined;
    },
  });
}

/** Returns true for an event stream that bears this id or none. */
function isSameStream(response: TargetResponse, id: string): boolean {
  return response.status === 200 && isEventStream(response.headers) &&
    (tryGetStreamId(response) ?? id) === id;
}

function isEventStart(data: Uint8Array): boolean {
  return eventStart.test(
    Buffer.from(data.subarray(0, eventStartBytes)).toString("latin1"),
  );
}

/** Yields complete events; throws when the body ends inside one. */
async function* splitEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<
  { readonly data: Uint8Array; readonly events: number },
  void
> {
  const rest = createByteCollector();
  for await (const data of body) {
    const searchFrom = Math.max(0, rest.getLength() - maxSplitBytes);
    rest.add(data);
    const found = findEvents(rest.getBytes().subarray(searchFrom));
    if (found.end > 0) {
      const joined = rest.take();
      const end = searchFrom + found.end;
      rest.add(joined.subarray(end));
      yield { data: joined.subarray(0, end), events: found.events };
    }
    if (rest.getLength() > maxEventBytes) throw createLimitError("event_bytes");
  }
  const tail = rest.take();
  if (!tail.every(isLineBreak)) {
    throw new Error("The stream ended inside an event");
  }
  if (tail.byteLength > 0) yield { data: tail, events: 0 };
}

function findEvents(
  data: Uint8Array,
): { readonly events: number; readonly end: number } {
  let events = 0;
  let end = 0;
  let at = data.indexOf(lineFeed);
  while (at >= 0) {
    const next = data[at + 1] === carriageReturn ? at + 2 : at + 1;
    if (data[next] === lineFeed) {
      events++;
      end = next + 1;
    }
    at = data.indexOf(lineFeed, Math.max(at + 1, end));
  }
  return { events, end };
}

function isLineBreak(byte: number): boolean {
  return byte === lineFeed || byte === carriageReturn;
}
