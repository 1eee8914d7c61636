/**
 * Splits the event stream of an engine into complete events and tracks the id
 * of the last one, so that another engine can resume the stream without a
 * missing or repeated event.
 */

/** Blank line that ends an event. */
const eventTerminator = Buffer.from("\n\n");

/** Maximum size of an event; engines send no larger ones. */
const maxEventBytes = 1_048_576;

/** Result of one push: complete new events, or a defect of the stream. */
export type CursorStep =
  | { readonly kind: "events"; readonly data: Uint8Array }
  | {
    readonly kind: "broken";
    readonly data: Uint8Array;
    readonly reason: string;
  };

/** Position in one event stream. */
export interface EventCursor {
  /** Takes bytes of the current engine and returns complete new events. */
  push(data: Uint8Array): CursorStep;
  /** Prepares for the stream of the next engine: drops an incomplete event. */
  beginRun(): void;
  /** Returns the id of the last complete event; undefined without one. */
  getLastId(): string | undefined;
  /** Returns true when another engine can go on behind the last event. */
  canResume(): boolean;
  /** Returns true while an incomplete event is buffered. */
  isInsideEvent(): boolean;
}

/** Creates a cursor after the event with an id, or at the start. */
export function createEventCursor(
  afterId: string | undefined,
): EventCursor {
  let lastId = afterId;
  let buffered: Buffer = Buffer.alloc(0);

  return {
    push,
    beginRun: () => {
      buffered = Buffer.alloc(0);
    },
    getLastId: () => lastId,
    canResume: () => lastId !== undefined,
    isInsideEvent: () => buffered.length > 0,
  };

  function push(data: Uint8Array): CursorStep {
    buffered = buffered.length === 0
      ? Buffer.from(data)
      : Buffer.concat([buffered, data]);
    const events: Buffer[] = [];
    let end = buffered.indexOf(eventTerminator);
    while (end >= 0) {
      const event = buffered.subarray(0, end + eventTerminator.length);
      buffered = buffered.subarray(end + eventTerminator.length);
      end = buffered.indexOf(eventTerminator);
      const orderCheck = checkOrder(event);
      if (orderCheck === "repeated") continue;
      if (orderCheck === "gap") {
        return createDefect("An event of the stream is missing");
      }
      events.push(event);
    }
    if (buffered.length > maxEventBytes) {
      return createDefect("The stream has no event boundaries");
    }
    const [single] = events;
    return {
      kind: "events",
      data: events.length === 1 && single !== undefined
        ? single
        : Buffer.concat(events),
    };
  }

  /** Compares an event's id with the last one; events without id pass. */
  function checkOrder(event: Buffer): "next" | "repeated" | "gap" {
    const id = /^id: ?(.*)$/m.exec(event.toString("latin1"))?.[1];
    if (id === undefined) return "next";
    const step = Number(id) - Number(lastId ?? Number.NaN);
    if (step <= 0) return "repeated";
    if (step > 1) return "gap";
    lastId = id;
    return "next";
  }
}

function createDefect(reason: string): CursorStep {
  return { kind: "broken", data: Buffer.alloc(0), reason };
}
