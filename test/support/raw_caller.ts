/** Calls servers over bare sockets and reads what a caller could conclude. */

import { connect, type Socket } from "node:net";
import { waitFor } from "../harness/wait.ts";

/** One response as its bytes show it. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly trailers: Readonly<Record<string, string>>;
  /** True when nothing shows that bytes are missing. */
  readonly looksWhole: boolean;
}

/** A connection of a caller. */
export interface RawCaller {
  readonly socket: Socket;
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>;
  getText(): string;
  /** Waits until a text has arrived. */
  waitForText(text: string): Promise<unknown>;
  /** Reads all responses once the connection is closed. */
  readAll(options?: ReadOptions): Promise<readonly RawResponse[]>;
}

/** How the bytes are read. */
export interface ReadOptions {
  /** True when the responses are those of HEAD requests. */
  readonly isHead?: boolean;
}

/** Connects and sends the text of one or more requests. */
export function openRawCaller(port: number, text: string): RawCaller {
  const chunks: Buffer[] = [];
  const socket = connect({ host: "127.0.0.1", port, allowHalfOpen: true });
  // A caller that ignores resets takes them for the end of the connection.
  socket.on("error", () => undefined);
  socket.on("data", (chunk) => chunks.push(chunk));
  socket.on("end", () => socket.end());
  const closed = new Promise<void>((resolve) => {
    socket.on("close", () => resolve());
  });
  socket.write(text);
  const getBytes = (): Buffer => Buffer.concat(chunks);
  return {
    socket,
    closed,
    getText: () => getBytes().toString("latin1"),
    waitForText: (expected) =>
      waitFor(
        JSON.stringify(expected),
        () => getBytes().toString("latin1").includes(expected),
      ),
    readAll: async (options = {}) => {
      await closed;
      return parseResponses(getBytes().toString("latin1"), options);
    },
  };
}

/** Formats a request without a body. */
export function formatRequest(
  path: string,
  options: {
    readonly method?: string;
    readonly version?: string;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): string {
  const { method = "GET", version = "1.1", headers = {} } = options;
  const lines = Object.entries({ host: "a.example", ...headers })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/${version}\r\n${lines.join("")}\r\n`;
}

/** Splits the bytes of a closed connection into responses. */
function parseResponses(
  text: string,
  options: ReadOptions,
): readonly RawResponse[] {
  const responses: RawResponse[] = [];
  let rest = text;
  while (rest !== "") {
    const headEnd = rest.indexOf("\r\n\r\n");
    const [statusLine = "", ...lines] = rest.slice(0, headEnd).split("\r\n");
    const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1]);
    const headers = parseHeaders(lines);
    if (headEnd < 0 || Number.isNaN(status)) {
      const cut = { status: Number.NaN, headers: {}, body: rest, trailers: {} };
      return [...responses, { ...cut, looksWhole: false }];
    }
    const hasBody = options.isHead !== true && status !== 204 && status !== 304;
    const { rest: next, ...body } = parseBody(
      rest.slice(headEnd + 4),
      hasBody ? headers : { "content-length": "0" },
    );
    responses.push({ status, headers, ...body });
    if (!body.looksWhole) return responses;
    rest = next;
  }
  return responses;
}

function parseHeaders(lines: readonly string[]): Record<string, string> {
  return Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(":");
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
}

interface Body extends Pick<RawResponse, "body" | "trailers" | "looksWhole"> {
  readonly rest: string;
}

function parseBody(text: string, headers: RawResponse["headers"]): Body {
  if (headers["transfer-encoding"] === "chunked") return parseChunks(text);
  const length = Number(headers["content-length"] ?? text.length);
  const body = text.slice(0, length);
  const looksWhole = body.length === length;
  return { body, trailers: {}, looksWhole, rest: text.slice(length) };
}

function parseChunks(text: string): Body {
  let body = "";
  let rest = text;
  while (true) {
    const size = /^([0-9a-f]+)\r\n/i.exec(rest);
    if (size === null) return { body, trailers: {}, looksWhole: false, rest };
    const length = parseInt(size[1] ?? "", 16);
    rest = rest.slice(size[0].length);
    if (length === 0) return parseTrailers(body, rest);
    body += rest.slice(0, length);
    if (rest.slice(length, length + 2) !== "\r\n") {
      return { body, trailers: {}, looksWhole: false, rest };
    }
    rest = rest.slice(length + 2);
  }
}

function parseTrailers(body: string, text: string): Body {
  if (text.startsWith("\r\n")) {
    return { body, trailers: {}, looksWhole: true, rest: text.slice(2) };
  }
  const end = text.indexOf("\r\n\r\n");
  const looksWhole = end >= 0;
  const lines = text.slice(0, end).split("\r\n");
  const trailers = looksWhole ? parseHeaders(lines) : {};
  return { body, trailers, looksWhole, rest: text.slice(end + 4) };
}
