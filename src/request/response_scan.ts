/**
 * Reads the token count, the usage and the end marker from a response while it
 * is forwarded.
 */

import { isEventStream, noUsage, type Usage } from "../types/response.ts";
import type { Header } from "../types/work.ts";

/** Bytes at the end of a response that are searched for its usage. */
const tailBytes = 4 * 1024;

/** Line feed; an empty line ends an event of an event stream. */
const lineFeed = 10;

/** Token count, usage and end marker of one response. */
export interface ResponseScan {
  /** Adds the next bytes of the response. */
  add(data: Uint8Array): void;
  /** Returns the tokens generated so far, one for each event of a stream. */
  getTokens(): number;
  /** Returns false for an event stream without its end marker. */
  isComplete(): boolean;
  /** Returns the usage found at the end, or `noUsage`. */
  getUsage(): Usage;
}

/** Creates the scan of a response with these headers. */
export function createResponseScan(headers: readonly Header[]): ResponseScan {
  const isStream = isEventStream(headers);
  const tailChunks: Uint8Array[] = [];
  let tailChunkBytes = 0;
  let tokens = 0;
  let isAfterLineFeed = false;

  return { add, getTokens: () => tokens, isComplete, getUsage };

  function add(data: Uint8Array): void {
    if (isStream) countEvents(data);
    tailChunks.push(data);
    tailChunkBytes += data.byteLength;
    // Drops the oldest chunk once the others alone fill the tail.
    while (tailChunkBytes - (tailChunks[0]?.byteLength ?? 0) >= tailBytes) {
      tailChunkBytes -= tailChunks.shift()?.byteLength ?? 0;
    }
  }

  function getTail(): string {
    return Buffer.concat(tailChunks).subarray(-tailBytes).toString();
  }

  /**
   * Counts empty lines, each of which ends an event. The two line feeds of an
   * empty line may be in different chunks.
   */
  function countEvents(data: Uint8Array): void {
    for (const byte of data) {
      if (byte === lineFeed && isAfterLineFeed) {
        tokens++;
        isAfterLineFeed = false;
      } else {
        isAfterLineFeed = byte === lineFeed;
      }
    }
  }

  function isComplete(): boolean {
    return !isStream || getTail().trimEnd().endsWith("data: [DONE]");
  }

  function getUsage(): Usage {
    const text = getTail();
    const usageStart = text.lastIndexOf('"usage"');
    if (usageStart < 0) return noUsage;
    const usageText = text.slice(usageStart);
    return {
      promptTokens: parseCount(usageText, "prompt_tokens"),
      outputTokens: parseCount(usageText, "completion_tokens"),
      cachedTokens: parseCount(usageText, "cached_tokens"),
    };
  }
}

function parseCount(text: string, field: string): number {
  return Number(new RegExp(`"${field}"\\s*:\\s*(\\d+)`).exec(text)?.[1] ?? 0);
}
