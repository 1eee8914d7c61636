/** Answers of targets, as events that follow in order. */

import type { DiagnosticCode } from "./diagnostics.ts";
import type { Header } from "./work.ts";

/** Tokens that a model engine says it has used; zeros for a plain call. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Prompt tokens that the engine found in its cache. */
  readonly cachedTokens: number;
}

/** Proof that the attempt did not run and never will. */
export interface Refusal {
  readonly kind: "refusal";
  readonly code: DiagnosticCode;
  readonly retryAfterMs: number;
}

/** Status and headers of the target's answer. */
export interface Head {
  readonly kind: "head";
  readonly status: number;
  readonly headers: readonly Header[];
}

/** Bytes of the body, from an offset in bytes. */
export interface Chunk {
  readonly kind: "chunk";
  readonly offset: number;
  readonly data: Uint8Array;
}

/** The body is whole. */
export interface End {
  readonly kind: "end";
  /** Length of the body, in bytes. */
  readonly length: number;
  /** Digest of the body, see `createBodyDigest`. */
  readonly digest: string;
  readonly usage: Usage;
}

/** The attempt was dispatched and has not ended well. */
export interface Failure {
  readonly kind: "failure";
  readonly code: DiagnosticCode;
  /** True when the target may have run the request. */
  readonly mayHaveRun: boolean;
}

/** One event of an answer; a refusal, an end or a failure is the last. */
export type ResponseEvent = Refusal | Head | Chunk | End | Failure;

/** Usage of an answer that tells none. */
export const noUsage: Usage = {
  promptTokens: 0,
  outputTokens: 0,
  cachedTokens: 0,
};

/** Reads one answer at the pace of its consumer. */
export interface ResponseReader {
  /** The next event, or undefined when it is not there yet. */
  tryRead(): ResponseEvent | undefined;
  /** Calls back each time that an event may have become readable. */
  onReadable(listener: () => void): void;
  /** Ends the reading; the answer is kept or dropped by its owner. */
  close(): void;
}

/** True when no event follows this one. */
export function isLastEvent(event: ResponseEvent): boolean {
  return event.kind !== "head" && event.kind !== "chunk";
}
