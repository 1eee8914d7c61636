/**
 * A response while it is generated. The generation does not depend on readers,
 * which can join and leave, and can start at any offset.
 */

import { getDraftToken } from "./draft.ts";

/** How a generation ended. */
export type GenerationEnd = "done" | "cancelled";

/** One response that is being generated or is complete. */
export interface Generation {
  readonly id: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Yields the tokens from an offset on; returns how the generation ended. */
  read(offset: number): AsyncGenerator<string, GenerationEnd>;
  /** Returns the text generated so far. */
  getText(): string;
  /** Returns the number of tokens generated so far. */
  getLength(): number;
  cancel(): void;
  /** Aborted when the generation is cancelled. */
  readonly signal: AbortSignal;
}

/** Id, draft and prompt size of one generation. */
export interface GenerationOptions {
  readonly id: string;
  readonly draft: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
}

/** A generation as the engine sees it, which adds the tokens. */
export interface WritableGeneration extends Generation {
  /** Adds the next token. */
  addToken(): void;
  /** Marks the generation as complete. */
  end(): void;
}

/** Creates a generation without tokens. */
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
