/**
 * Cuts the answer of an engine into whole events and keeps the id of the last
 * one, so that another engine can go on after it without a gap or a repeat.
 */

/** Marks the end of an event. */
const eventTerminator = Buffer.from("\n\n");

/** Largest event that is held; a larger one is no event of an engine. */
const maxEventBytes = 1_048_576;

/** What follows from a piece of an answer. */
export type CursorStep =
  | { readonly kind: "events"; readonly data: Uint8Array }
  | { readonly kind: "broken"; readonly reason: string };

/** The position in one stream. */
export interface EventCursor {
  /** Takes bytes of the current engine and returns the whole new events. */
  push(data: Uint8Array): CursorStep;
  /** Another engine goes on; bytes of an unfinished event are dropped. */
  resume(): void;
  /** Id of the last whole event; undefined before the first. */
  getLastId(): string | undefined;
  /** True when the engine has ended in the middle of an event. */
  isInsideEvent(): boolean;
}

/** Creates a cursor that stands after an event, or at the start. */
export function createEventCursor(
  afterId: string | undefined,
): EventCursor {
  let lastId = afterId;
  let held: Buffer = Buffer.alloc(0);

  return {
    push,
    resume: () => {
      held = Buffer.alloc(0);
    },
    getLastId: () => lastId,
    isInsideEvent: () => held.length > 0,
  };

  function push(data: Uint8Array): CursorStep {
    held = held.length === 0 ? Buffer.from(data) : Buffer.concat([held, data]);
    const events: Buffer[] = [];
    let end = held.indexOf(eventTerminator);
    while (end >= 0) {
      const event = held.subarray(0, end + eventTerminator.length);
      held = held.subarray(end + eventTerminator.length);
      end = held.indexOf(eventTerminator);
      const orderCheck = checkOrder(event);
      if (orderCheck === "repeated") continue;
      if (orderCheck === "gap") {
        return { kind: "broken", reason: "An event of the stream is missing" };
      }
      events.push(event);
    }
    if (held.length > maxEventBytes) {
      return { kind: "broken", reason: "The stream has no event boundaries" };
    }
    const [only] = events;
    return {
      kind: "events",
      data: events.length === 1 && only !== undefined
        ? only
        : Buffer.concat(events),
    };
  }

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
