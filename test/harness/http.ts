/** Makes HTTP calls for tests and the demo. */

import { Agent, request } from "undici";

/** A response that was read to its end. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly trailers: Readonly<Record<string, string>>;
  readonly text: string;
  /** The parsed body; undefined when it is not JSON. */
  readonly json: JsonValue;
}

/** A JSON value of unknown shape. */
export type JsonValue =
  | { readonly [name: string]: JsonValue }
  | undefined;

/** Method, headers and body of a call. */
export interface HttpOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** An object is sent as JSON, a string unchanged. */
  readonly body?: object | string;
  readonly signal?: AbortSignal;
}

const dispatcher = new Agent({ keepAliveTimeout: 1, connections: 500 });

/** Makes a call and reads the complete response. */
export async function callHttp(
  url: string,
  options: HttpOptions = {},
): Promise<HttpResponse> {
  const { body } = options;
  const response = await request(url, {
    dispatcher,
    method: (options.method ?? (body === undefined ? "GET" : "POST")) as "GET",
    headers: { "content-type": "application/json", ...options.headers },
    ...(options.signal === undefined ? {} : { signal: options.signal }),
    ...(body === undefined
      ? {}
      : { body: typeof body === "string" ? body : JSON.stringify(body) }),
  });
  const text = await response.body.text();
  return {
    status: response.statusCode,
    headers: response.headers,
    trailers: response.trailers,
    text,
    json: tryParseJson(text),
  };
}

/** Makes a call; returns undefined if it fails without a full response. */
export async function tryCallHttp(
  url: string,
  options: HttpOptions = {},
): Promise<HttpResponse | undefined> {
  try {
    return await callHttp(url, options);
  } catch {
    return undefined;
  }
}

/** Returns the field at a path such as `usage.prompt_tokens`. */
export function readPath(value: JsonValue, path: string): unknown {
  let current: JsonValue = value;
  for (const name of path.split(".")) {
    if (typeof current !== "object" || current === null) return undefined;
    current = current[name];
  }
  return current;
}

function tryParseJson(text: string): JsonValue {
  try {
    return JSON.parse(text) as JsonValue;
  } catch {
    return undefined;
  }
}
