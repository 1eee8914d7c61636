/** The ways in which targets of a soak answer. */

import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  ServerResponse,
} from "node:http";
import type { Arrival } from "./observations.ts";

/** The work that a request asks for. */
export interface Work {
  /** Events of a stream; 0 for a body without events. */
  readonly events: number;
  /** Time between events, or until the response, in milliseconds. */
  readonly stepMs: number;
}

/** One request at a target. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrival: Arrival;
  readonly work: Work;
  /** Id of the request before on the same connection. */
  readonly previousId: string | undefined;
  /** Seconds for a `Retry-After`, where the answer bears one. */
  readonly retryAfterS: number;
  /** A number from 0 up to 1 that varies the answer. */
  readonly share: number;
  /** The whole body of the response, where it has no events. */
  readonly body: string;
  /** True when the caller sends a long body. */
  readonly isUpload: boolean;
  /** Acts after a time, and not while the target stands still. */
  after(ms: number, act: () => void): void;
}

/** Shortest and longest pause in the middle of an answer, in milliseconds. */
const pausesMs = { least: 1_000, most: 3_000 } as const;

/** Time from the close of a connection to its reset, in milliseconds. */
const resetDelayMs = 10;

/**
 * Time for which routers wait for a reset after the end of a response, in milliseconds.
 * This process may be late beside a load.
 */
const tellableResetMs = 60;

/** What a head lacks. */
interface HeadOptions {
  readonly isUnsigned?: boolean;
}

const unsigned: HeadOptions = { isUnsigned: true };

/** Ways to answer, by name. */
export type AnswerName = keyof typeof answers;

/** Plays the answers; all but `served` and `wrong_target` are faults. */
export const answers = {
  served: serve,
  wrong_target: (exchange) => refuse(exchange, 421, "wrong_target"),
  full: (exchange) => refuse(exchange, 503, "not_run"),
  full_pause: (exchange) => refuse(withPause(exchange), 503, "not_run"),
  ran_503: (exchange) => runAndFail(exchange, 503),
  ran_503_pause: (exchange) => runAndFail(withPause(exchange), 503),
  ran_429: (exchange) => runAndFail(exchange, 429),
  ran_408: (exchange) => runAndFail(exchange, 408),
  ran_421: (exchange) => runAndFail(exchange, 421),
  ran_400: (exchange) => runAndFail(exchange, 400),
  ran_421_unsigned: (exchange) => runAndFail(exchange, 421, unsigned),
  ran_429_unsigned: (exchange) => runAndFail(exchange, 429, unsigned),
  ran_503_unsigned: (exchange) => runAndFail(exchange, 503, unsigned),
  ran_400_unsigned: (exchange) => runAndFail(exchange, 400, unsigned),
  /** Sends nothing for a time in the middle of an answer, and ends it whole. */
  pause: (exchange) => {
    const { share, work } = exchange;
    const { least, most } = pausesMs;
    const pauseMs = least + share * (most - least);
    if (work.events > 0) sendEvents(exchange, { pauseMs });
    else sendBodyAfterPause(exchange, pauseMs);
  },
  error_500: (exchange) => runAndFail(exchange, 500),
  reset: (exchange) =>
    serveUntil(exchange, () => exchange.request.socket.resetAndDestroy()),
  closed: (exchange) =>
    serveUntil(exchange, () => exchange.request.socket.end()),
  /** Ends like a process while the body is on its way; others are served. */
  cut_upload: (exchange) => {
    if (exchange.isUpload) cutUpload(exchange);
    else serve(exchange);
  },
  silent: (exchange) => serveUntil(exchange, () => undefined),
  noise: ({ request, arrival }) => {
    arrival.brokeOff = true;
    request.socket.end("\u0001\u0002 no answer\r\n".repeat(4));
  },
  nameless_421: ({ response, arrival }) => {
    arrival.kind = "wrong_target";
    arrival.brokeOff = true;
    response.writeHead(421, { "X-Instance": "another" }).end();
  },
  nameless_503: ({ response, arrival }) => {
    arrival.kind = "not_run";
    arrival.brokeOff = true;
    response.writeHead(503, { "X-Not-Run": "full" }).end();
  },
  /** An extra response to the request before, in place of this one's. */
  stray: (exchange) => {
    const { previousId, arrival } = exchange;
    const id = `X-Request-Id: ${previousId}`;
    writeStray(exchange, [id, `X-Server-Stamp: ${arrival.life}`]);
    serve(exchange);
  },
  /** The same without an id, so that nothing shows whose it is. */
  stray_nameless: (exchange) => {
    writeStray(exchange, []);
    serve(exchange);
  },
} as const satisfies Record<string, (exchange: Exchange) => void>;

/** Head lines of extra responses; `share` chooses one. */
const strayHeads = [
  ["HTTP/1.1 503 Service Unavailable", "X-Not-Run: full"],
  ["HTTP/1.1 421 Misdirected Request", "X-Instance: another"],
  ["HTTP/1.1 200 OK"],
] as const;

/** Writes an extra response where the connection has carried a request. */
function writeStray(
  { request, share, previousId, arrival }: Exchange,
  identity: readonly string[],
): void {
  if (previousId === undefined) return;
  arrival.brokeOff = true;
  const heads = identity.length > 0 ? strayHeads : strayHeads.slice(0, 2);
  const head = heads[Math.floor(share * heads.length)] ?? [];
  const lines = [...head, ...identity, "Content-Length: 0", "", ""];
  request.socket.write(lines.join("\r\n"));
}

/**
 * Closes with a part of a response, and resets when more bytes arrive. Where the reset
 * comes too late to be told, the part counts as the whole response.
 */
function cutUpload({ request, arrival, body }: Exchange): void {
  const { socket } = request;
  const part = body.slice(0, body.length / 2);
  arrival.brokeOff = true;
  const lines = [
    ...["HTTP/1.1 200 OK", "Content-Type: text/plain", "Connection: close"],
    `X-Request-Id: ${arrival.requestId}`,
    `X-Server-Stamp: ${arrival.life}`,
    ...["", part],
  ];
  request.pause();
  const endedAt = performance.now();
  socket.end(lines.join("\r\n"), () => {
    setTimeout(() => {
      arrival.resetAfterMs = performance.now() - endedAt;
      if (arrival.resetAfterMs > tellableResetMs) {
        Object.assign(arrival, { brokeOff: false, status: 200, body: part });
      }
      socket.resetAndDestroy();
    }, resetDelayMs);
  });
}

function withPause(exchange: Exchange): Exchange {
  const { response, retryAfterS } = exchange;
  response.setHeader("Retry-After", String(retryAfterS));
  return exchange;
}

function refuse(
  exchange: Exchange,
  status: number,
  kind: "not_run" | "wrong_target",
): void {
  exchange.arrival.kind = kind;
  writeHead(exchange, status, { "X-Not-Run": kind });
  exchange.response.end();
}

/** Runs the request and answers with a failure that does not say "not run". */
function runAndFail(
  exchange: Exchange,
  status: number,
  options: HeadOptions = {},
): void {
  const { arrival, work } = exchange;
  const body = `failed ${arrival.requestId}`;
  arrival.body = body;
  const failed = { ...exchange, body };
  exchange.after(work.stepMs, () => sendBody(failed, status, options));
}

function serve(exchange: Exchange): void {
  const { work } = exchange;
  if (work.events > 0) sendEvents(exchange);
  else exchange.after(work.stepMs, () => sendBody(exchange, 200));
}

/** Pauses before the head, or between the head and the body. */
function sendBodyAfterPause(exchange: Exchange, pauseMs: number): void {
  const { after, response, work, share, body } = exchange;
  if (share < 0.5) {
    return after(work.stepMs + pauseMs, () => sendBody(exchange, 200));
  }
  after(work.stepMs, () => {
    writeHead(exchange, 200, { "Content-Type": "text/plain" });
    response.flushHeaders();
    after(pauseMs, () => response.end(body));
  });
}

/** Serves a part of a stream, or nothing, and breaks off. */
function serveUntil(exchange: Exchange, end: () => void): void {
  const { arrival, work, share } = exchange;
  const breakOff = (): void => {
    arrival.brokeOff = true;
    end();
  };
  if (work.events > 0 && share > 0.4) sendEvents(exchange, { breakOff });
  else exchange.after(work.stepMs, breakOff);
}

function sendBody(
  exchange: Exchange,
  status: number,
  options: HeadOptions = {},
): void {
  const type = { "Content-Type": "text/plain" };
  writeHead(exchange, status, type, options);
  exchange.response.end(exchange.body);
}

function sendEvents(
  exchange: Exchange,
  { breakOff, pauseMs = 0 }: {
    readonly breakOff?: () => void;
    readonly pauseMs?: number;
  } = {},
): void {
  const { response, arrival, work, share } = exchange;
  const events = createEvents(arrival, work);
  const breakAt = breakOff === undefined ? Infinity : events.length * share;
  const pauseAt = Math.floor(events.length * share);
  let sent = 0;
  scheduleNext();

  function scheduleNext(): void {
    const extraMs = sent === pauseAt ? pauseMs : 0;
    exchange.after(work.stepMs + extraMs, sendNext);
  }

  function sendNext(): void {
    if (response.destroyed) return;
    if (sent >= breakAt) return breakOff?.();
    if (sent === 0) {
      writeHead(exchange, 200, { "Content-Type": "text/event-stream" });
    }
    response.write(events[sent++] ?? "");
    if (sent === events.length) response.end();
    else scheduleNext();
  }
}

function writeHead(
  { response, arrival }: Exchange,
  status: number,
  headers: OutgoingHttpHeaders,
  { isUnsigned = false }: HeadOptions = {},
): void {
  arrival.status = status;
  response.writeHead(status, {
    ...headers,
    "X-Request-Id": arrival.requestId,
    ...(isUnsigned ? {} : { "X-Server-Stamp": arrival.life }),
  });
}

/** Creates the events after the last one that the caller has. */
export function createEvents(
  { requestId, life, lastEventId }: Arrival,
  { events }: Work,
): readonly string[] {
  const length = Math.max(1, events - lastEventId);
  return Array.from({ length }, (_, index) => {
    const id = lastEventId + index + 1;
    return `id: ${id}\ndata: ${requestId} ${life} ${id}/${events}\n\n`;
  });
}
