/** Answers in the making: readers join at any offset, the work goes on. */

import { getDraftToken } from "./draft.ts";

/** How an answer ended. */
export type GenerationEnd = "done" | "cancelled";

/** One answer in the making. */
export interface Generation {
  readonly id: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Yields tokens from an offset as they come; returns how it ended. */
  read(offset: number): AsyncGenerator<string, GenerationEnd>;
  getText(): string;
  getLength(): number;
  cancel(): void;
  readonly signal: AbortSignal;
}

/** Work of one answer. */
export interface GenerationOptions {
  readonly id: string;
  readonly draft: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** An answer that the engine's batch writes. */
export interface WritableGeneration extends Generation {
  /** Adds the next token. */
  addToken(): void;
  end(): void;
}

/** Creates an answer without tokens. */
export function createGeneration(
  options: GenerationOptions,
): WritableGeneration {
  const tokens: string[] = [];
  const abortController = new AbortController();
  let endStatus: GenerationEnd | undefined;
  let nextChange = createDeferred();

  return {
    id: options.id,
    promptTokens: options.promptTokens,
    cachedTokens: options.cachedTokens,
    read,
    getText: () => tokens.join(""),
    getLength: () => tokens.length,
    cancel,
    signal: abortController.signal,
    addToken,
    end: () => finish("done"),
  };

  async function* read(
    offset: number,
  ): AsyncGenerator<string, GenerationEnd> {
    let next = offset;
    while (true) {
      const token = tokens[next];
      if (token !== undefined) {
        next++;
        yield token;
        continue;
      }
      if (endStatus !== undefined) return endStatus;
      await nextChange.promise;
    }
  }

  function addToken(): void {
    tokens.push(getDraftToken(options.draft, tokens.length));
    notifyReaders();
  }

  function cancel(): void {
    if (endStatus !== undefined) return;
    finish("cancelled");
    abortController.abort();
  }

  function finish(newStatus: GenerationEnd): void {
    endStatus ??= newStatus;
    notifyReaders();
  }

  function notifyReaders(): void {
    const { resolve } = nextChange;
    nextChange = createDeferred();
    resolve();
  }
}

function createDeferred(): {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
} {
  let resolve = (): void => undefined;
  const promise = new Promise<void>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { promise, resolve };
}
