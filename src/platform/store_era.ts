/**
 * Reads the era of the store from its responses. An era that is missing or
 * malformed changes nothing; one below the newest belongs to a response that
 * was sent before a newer one; one that skips others counts once a second
 * response confirms it.
 */

import type { EraFault } from "../types/directory.ts";

/** The era of one response. */
export interface ResponseEra {
  readonly era: number;
  /** True when the content of the response must not be used. */
  readonly isOutdated: boolean;
}

/** Eras of the responses of one store. */
export interface EraReader {
  /** Reads the header of a response; undefined when it has none. */
  read(header: string | readonly string[] | undefined): ResponseEra;
  /** Returns the newest era; 0 before the first. */
  getNewest(): number;
  /** Sets the handler of eras that cannot be used as they are. */
  onFault(handler: (fault: EraFault) => void): void;
}

/** Creates a reader that has seen no response. */
export function createEraReader(): EraReader {
  let newest: number | undefined;
  let unconfirmed: number | undefined;
  let handleFault: (fault: EraFault) => void = () => undefined;

  return {
    read,
    getNewest: () => newest ?? 0,
    onFault: (handler) => {
      handleFault = handler;
    },
  };

  function read(
    header: string | readonly string[] | undefined,
  ): ResponseEra {
    const text = String(header ?? "");
    const era = tryParseEra(text);
    const known = newest ?? 0;
    if (era === undefined) {
      report(header === undefined ? "missing" : "malformed", text);
      return { era: known, isOutdated: false };
    }
    if (newest !== undefined && era < newest) {
      report("decreased", text);
      return { era, isOutdated: true };
    }
    const isSkipping = newest !== undefined && era > newest + 1;
    if (isSkipping && unconfirmed !== era) {
      report("skipped", text);
      unconfirmed = era;
      return { era, isOutdated: true };
    }
    unconfirmed = undefined;
    newest = era;
    return { era, isOutdated: false };
  }

  function report(kind: EraFault["kind"], text: string): void {
    handleFault({ kind, text, newestEra: newest ?? 0 });
  }
}

/** Parses a whole number; returns undefined for any other text. */
function tryParseEra(text: string): number | undefined {
  const era = /^\d{1,16}$/.test(text) ? Number(text) : undefined;
  return Number.isSafeInteger(era) ? era : undefined;
}
