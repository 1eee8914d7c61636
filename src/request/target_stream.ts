/**
 * Reads the body of a target's answer. An event stream is passed on in whole
 * events, so that it can be resumed at the next event when the connection to
 * a living engine breaks, without splicing two drafts.
 */

import {
  type TargetClient,
  type TargetResponse,
  toTargetError,
} from "../connection/target_client.ts";

/** Header by which an engine names a stream that can be resumed. */
const streamIdHeader = "x-stream-id";

/** Resumptions of one stream that bring nothing new, before it is lost. */
const maxIdleResumes = 2;

/** Line feed; two of them end an event. */
const lineFeed = 10;

/** What a stream needs from outside. */
export interface TargetStreamHost {
  readonly target: Pick<TargetClient, "resume">;
  /** True when the target that broke the connection has crashed. */
  checkCrash(): Promise<boolean>;
}

/** Returns the id of a stream that can be resumed. */
export function tryGetStreamId(answer: TargetResponse): string | undefined {
  return answer.headers.find(({ name }) => name === streamIdHeader)?.value;
}

/** Yields the body; throws what `toTargetError` reads. */
export async function* readTargetStream(
  host: TargetStreamHost,
  answer: TargetResponse,
  signal: AbortSignal,
): AsyncGenerator<Uint8Array, void> {
  const id = tryGetStreamId(answer);
  if (id === undefined) {
    yield* answer.body;
    return;
  }
  let body = answer.body;
  let events = 0;
  let idleResumes = 0;
  while (true) {
    const before = events;
    try {
      for await (const part of splitEvents(body)) {
        events += part.events;
        yield part.data;
      }
      return;
    } catch (error) {
      idleResumes = events > before ? 0 : idleResumes + 1;
      if (toTargetError(error).kind === "aborted") throw error;
      if (idleResumes > maxIdleResumes) throw error;
      if (await host.checkCrash()) throw error;
      const resumed = await host.target
        .resume({ id, offset: events, signal }).run();
      if (resumed.isLeft()) throw error;
      body = resumed.unsafeCoerce().body;
    }
  }
}

/** Cuts a body behind its last whole event; the rest comes at its end. */
async function* splitEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<
  { readonly data: Uint8Array; readonly events: number },
  void
> {
  let rest: Uint8Array = new Uint8Array();
  for await (const data of body) {
    const joined = rest.byteLength === 0 ? data : Buffer.concat([rest, data]);
    const { events, end } = findEvents(joined);
    rest = joined.subarray(end);
    if (end > 0) yield { data: joined.subarray(0, end), events };
  }
  if (rest.byteLength > 0) yield { data: rest, events: 0 };
}

function findEvents(
  data: Uint8Array,
): { readonly events: number; readonly end: number } {
  let events = 0;
  let end = 0;
  let at = data.indexOf(lineFeed);
  while (at >= 0 && at + 1 < data.byteLength) {
    if (data[at + 1] === lineFeed) {
      events++;
      end = at + 2;
    }
    at = data.indexOf(lineFeed, Math.max(at + 1, end));
  }
  return { events, end };
}
