/**
 * Splits the event stream of an engine into complete events and tracks the id
 * of the last one, so that another engine can resume the stream without a
 * missing or repeated event.
 */

import { createByteCollector } from "./byte_collector.ts";

/** Blank line that ends an event. */
const eventTerminator = Buffer.from("\n\n");

/** Maximum size of an event; engines send no larger ones. */
const maxEventBytes = 1_048_576;

/**
 * Result of one push: the complete new events, and the defect of the stream
 * that follows them, if any.
 */
export type CursorStep =
  & {
    readonly data: Uint8Array;
    /** False when the data has no events or comments alone. */
    readonly hasEvents: boolean;
    /** Number of events and comments that were read. */
    readonly pieces: number;
  }
  & (
    | { readonly kind: "events" }
    | { readonly kind: "broken"; readonly reason: string }
  );

/** Position in one event stream. */
export interface EventCursor {
  /** Takes bytes of the current engine and returns complete new events. */
  push(data: Uint8Array): CursorStep;
  /**
   * Prepares for the stream of the next engine: drops an incomplete event. The
   * stream must begin with the event that follows the last one.
   */
  beginRun(): void;
  /** Returns the id of the last complete event; undefined without one. */
  getLastId(): string | undefined;
  /**
   * Returns true when the id of the last event is enough to check that another
   * stream goes on behind it.
   */
  canResume(): boolean;
  /** Returns true once an event other than a comment has arrived. */
  hasEvents(): boolean;
  /** Returns true until the next event of a resumed stream has arrived. */
  isAtResumption(): boolean;
  /** Returns true while an incomplete event is buffered. */
  isInsideEvent(): boolean;
  /** Returns the bytes of the incomplete event. */
  getBufferedBytes(): number;
}

/** How an event relates to the last one. */
type EventOrder =
  | "next"
  | "repeated"
  | "gap"
  | "backwards"
  | "other_run"
  | "unnumbered";

/** Reasons to report for the orders that break a stream. */
const reasonsByOrder: Readonly<Partial<Record<EventOrder, string>>> = {
  gap: "An event of the stream is missing",
  backwards: "Another event of the stream has the same or an earlier id",
  other_run: "The stream does not begin with the next event",
  unnumbered: "An event of the resumed stream has no number as its id",
};

/** Creates a cursor after the event with an id, or at the start. */
export function createEventCursor(
  afterId: string | undefined,
): EventCursor {
  let lastId = afterId;
  /** The last event with an id; undefined before the first one. */
  let lastEvent: string | undefined;
  const buffered = createByteCollector();
  /** True while the run has to go on after an event of an earlier one. */
  let isResumed = tryParseId(afterId) !== undefined;
  /** True until the first event of such a run. */
  let isAtResumption = isResumed;
  /** True when an event without a number as its id is the last one. */
  let isBeyondLastId = false;
  /** Number of events that are no comments. */
  let eventCount = 0;

  return {
    push,
    beginRun,
    getLastId: () => lastId,
    canResume: () => !isBeyondLastId && tryParseId(lastId) !== undefined,
    hasEvents: () => eventCount > 0,
    isAtResumption: () => isAtResumption,
    isInsideEvent: () => buffered.getLength() > 0,
    getBufferedBytes: buffered.getLength,
  };

  function beginRun(): void {
    buffered.take();
    isResumed = tryParseId(lastId) !== undefined;
    isAtResumption = isResumed;
  }

  function push(data: Uint8Array): CursorStep {
    // An end may begin with the last byte of the data before.
    const searchFrom = Math.max(
      0,
      buffered.getLength() - eventTerminator.length + 1,
    );
    buffered.add(data);
    let end = buffered.getBytes().indexOf(eventTerminator, searchFrom);
    if (end < 0) {
      return createStep({ data: join([]), hasEvents: false, pieces: 0 });
    }
    let rest = buffered.take();
    const events: Buffer[] = [];
    const countBefore = eventCount;
    let pieces = 0;
    while (end >= 0) {
      pieces++;
      const event = rest.subarray(0, end + eventTerminator.length);
      rest = rest.subarray(end + eventTerminator.length);
      end = rest.indexOf(eventTerminator);
      const order = accept(event.toString("latin1"));
      if (order === "repeated") continue;
      const reason = reasonsByOrder[order];
      if (reason !== undefined) {
        buffered.add(rest);
        return { kind: "broken", ...getData(), reason };
      }
      events.push(event);
    }
    buffered.add(rest);
    return createStep(getData());

    function getData(): Pick<CursorStep, "data" | "hasEvents" | "pieces"> {
      const hasEvents = eventCount > countBefore;
      return { data: join(events), hasEvents, pieces };
    }
  }

  function createStep(
    step: Pick<CursorStep, "data" | "hasEvents" | "pieces">,
  ): CursorStep {
    if (buffered.getLength() <= maxEventBytes) {
      return { kind: "events", ...step };
    }
    const reason = "The stream has no event boundaries";
    return { kind: "broken", ...step, reason };
  }

  /** Compares an event's id with the last one and records it if it is next. */
  function accept(event: string): EventOrder {
    if (isComment(event)) return "next";
    const id = /^id: ?(.*)$/m.exec(event)?.[1];
    const number = tryParseId(id);
    const step = (number ?? Number.NaN) - (tryParseId(lastId) ?? Number.NaN);
    if (isAtResumption && step !== 1) return "other_run";
    isAtResumption = false;
    if (isResumed && number === undefined) return "unnumbered";
    if (step <= 0) return event === lastEvent ? "repeated" : "backwards";
    if (step > 1) return "gap";
    isBeyondLastId = number === undefined;
    eventCount++;
    if (id !== undefined) {
      lastId = id;
      lastEvent = event;
    }
    return "next";
  }
}

/** Returns true for an event that has only comment lines. */
function isComment(event: string): boolean {
  return event.trimEnd().split("\n").every((line) => line.startsWith(":"));
}

/** Returns the number in an event id; undefined when it is not one. */
function tryParseId(id: string | undefined): number | undefined {
  return id !== undefined && /^\d{1,15}$/.test(id) ? Number(id) : undefined;
}

function join(events: readonly Buffer[]): Uint8Array {
  const [single] = events;
  return events.length === 1 && single !== undefined
    ? single
    : Buffer.concat(events);
}
