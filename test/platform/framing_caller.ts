/** A caller that judges by the framing alone whether a response is complete. */

import { connect } from "node:net";
import type { SocketAddress } from "../../src/types/direct_settings.ts";

/** A response as its bytes show it. */
export interface RawResponse {
  readonly status: number;
  /** Values by the headers' names in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  /** True when the framing says that the whole body has arrived. */
  readonly isComplete: boolean;
  /** Bytes that follow a complete response. */
  readonly surplus: Buffer;
}

/** The body in the bytes after a head. */
type RawBody = Pick<RawResponse, "body" | "isComplete" | "surplus">;

/** Status of a response that has no body. */
const noContentStatus = 204;

/**
 * Sends one request on a connection of its own and reads until the router
 * closes it. Undefined when no head has arrived; throws on invalid framing.
 */
export async function sendRawRequest(
  { address, port }: SocketAddress,
  { method, path, headers }: {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
  },
): Promise<RawResponse | undefined> {
  const lines = Object.entries({ ...headers, connection: "close" })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  const { bytes, wasReset } = await exchange(
    { address, port },
    `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`,
  );
  const headEnd = bytes.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const [statusLine = "", ...headerLines] = bytes.subarray(0, headEnd)
    .toString("latin1").split("\r\n");
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(statusLine)?.[1]);
  const received = new Map(headerLines.map((line) => {
    const [, name = "", value = ""] = /^([^:]+): (.*)$/.exec(line) ?? [];
    return [name.toLowerCase(), value];
  }));
  const rest = bytes.subarray(headEnd + 4);
  return {
    status,
    headers: received,
    ...readBody(rest, { status, headers: received, wasReset }),
  };
}

function exchange(
  { address, port }: SocketAddress,
  request: string,
): Promise<{ readonly bytes: Buffer; readonly wasReset: boolean }> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let wasReset = false;
    const socket = connect(port, address, () => socket.write(request));
    socket.on("data", (part) => parts.push(part));
    socket.on("error", () => {
      wasReset = true;
    });
    socket.on(
      "close",
      () => resolve({ bytes: Buffer.concat(parts), wasReset }),
    );
  });
}

function readBody(
  bytes: Buffer,
  { status, headers, wasReset }: {
    readonly status: number;
    readonly headers: ReadonlyMap<string, string>;
    readonly wasReset: boolean;
  },
): RawBody {
  const length = headers.get("content-length");
  const encoding = headers.get("transfer-encoding");
  if (length !== undefined && encoding !== undefined) {
    throw new Error("The response has a length and an encoding");
  }
  if (status === noContentStatus) return readLength(bytes, 0);
  if (encoding === "chunked") return readChunks(bytes);
  if (length !== undefined) return readLength(bytes, Number(length));
  return { body: bytes, isComplete: !wasReset, surplus: Buffer.alloc(0) };
}

function readLength(bytes: Buffer, length: number): RawBody {
  return {
    body: bytes.subarray(0, length),
    isComplete: bytes.length >= length,
    surplus: bytes.subarray(length),
  };
}

function readChunks(bytes: Buffer): RawBody {
  const parts: Buffer[] = [];
  let rest = bytes;
  while (true) {
    const lineEnd = rest.indexOf("\r\n");
    if (lineEnd < 0) return createCutBody(parts);
    const sizeText = rest.subarray(0, lineEnd).toString("latin1");
    if (!/^[0-9a-f]+$/i.test(sizeText)) {
      throw new Error(`Invalid size of a chunk: ${JSON.stringify(sizeText)}`);
    }
    const size = Number.parseInt(sizeText, 16);
    const start = lineEnd + 2;
    const end = start + size;
    const terminator = rest.subarray(end, end + 2).toString("latin1");
    if (!"\r\n".startsWith(terminator)) {
      throw new Error("A chunk does not end after its size");
    }
    parts.push(rest.subarray(start, end));
    if (terminator.length < 2) return createCutBody(parts);
    rest = rest.subarray(end + 2);
    if (size === 0) {
      return { body: Buffer.concat(parts), isComplete: true, surplus: rest };
    }
  }
}

function createCutBody(parts: readonly Buffer[]): RawBody {
  return {
    body: Buffer.concat(parts),
    isComplete: false,
    surplus: Buffer.alloc(0),
  };
}
