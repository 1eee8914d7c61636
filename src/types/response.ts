/** Responses of targets, as ordered events. */

import type { DiagnosticCode } from "./diagnostics.ts";
import type { Header } from "./work.ts";

/** Header that names the type of a body. */
const contentType = "content-type";

/** The token usage that a model engine reports; all zeros for a plain call. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that the engine found in its prefix cache. */
  readonly cachedTokens: number;
}

/** Proof that the attempt did not run and never will. */
export interface Refusal {
  readonly kind: "refusal";
  readonly code: DiagnosticCode;
  readonly retryAfterMs: number;
}

/** Status and headers of a target's response. */
export interface Head {
  readonly kind: "head";
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A range of the body's bytes, with its offset in bytes. */
export interface Chunk {
  readonly kind: "chunk";
  readonly offset: number;
  readonly data: Uint8Array;
}

/** The end of a complete body. */
export interface End {
  readonly kind: "end";
  /** Length of the body, in bytes. */
  readonly length: number;
  /** Digest of the body; see `BodyDigest`. */
  readonly digest: string;
  readonly usage: Usage;
}

/** The failure of an attempt that was dispatched. */
export interface Failure {
  readonly kind: "failure";
  readonly code: DiagnosticCode;
  /** True when the target may have run the request. */
  readonly mayHaveRun: boolean;
}

/** One event of a response; a refusal, an end or a failure is the last one. */
export type ResponseEvent = Refusal | Head | Chunk | End | Failure;

/** The usage of a response that reports none. */
export const noUsage: Usage = {
  promptTokens: 0,
  outputTokens: 0,
  cachedTokens: 0,
};

/** Returns true when the headers announce a stream of server-sent events. */
export function isEventStream(headers: readonly Header[]): boolean {
  const type = headers.find(({ name }) => name.toLowerCase() === contentType);
  const [mediaType = ""] = type?.value.split(";") ?? [];
  return mediaType.trim().toLowerCase() === "text/event-stream";
}

/** Reads one response at the pace of its consumer. */
export interface ResponseReader {
  /** Returns the next event, or undefined while none is available. */
  tryRead(): ResponseEvent | undefined;
  /** Calls the listener whenever an event may have become available. */
  onReadable(listener: () => void): void;
  /** Stops reading; the response's owner decides whether to retain it. */
  close(): void;
}

/** Returns true when no event follows this one. */
export function isLastEvent(event: ResponseEvent): boolean {
  return event.kind !== "head" && event.kind !== "chunk";
}
