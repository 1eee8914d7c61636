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

/** Line break of an event stream. */
const lineBreak = /\r?\n/;

/** Empty parts that follow an event when its text is split into lines. */
const linesAfterEvent = 2;

/** A line that adds to the data of an event. */
const dataField = /^data(?::|$)/;

/** The line that marks the end of a chat's event stream. */
const endMarker = /^data: ?\[DONE\]\s*$/;

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
  let bytes = 0;
  let tokens = 0;
  let isAfterLineFeed = false;

  return { add, getTokens: () => tokens, isComplete, getUsage };

  function add(data: Uint8Array): void {
    if (isStream) countEvents(data);
    tailChunks.push(data);
    tailChunkBytes += data.byteLength;
    bytes += data.byteLength;
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
    return !isStream || endsWithMarker(getTail(), {
      isWhole: bytes <= tailBytes,
    });
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

/**
 * Returns true when the last event is the end marker and an empty line ends it.
 * The event's start must be known, since a line of a text may read like the
 * marker.
 */
function endsWithMarker(
  tail: string,
  { isWhole }: { readonly isWhole: boolean },
): boolean {
  const lines = tail.split(lineBreak);
  let end = lines.length;
  while (end > 0 && lines[end - 1] === "") end--;
  if (lines.length - end < linesAfterEvent) return false;
  const before = lines.lastIndexOf("", end - 1);
  // The first line of a part of the response may be the rest of a longer one.
  if (before < 1 && !isWhole) return false;
  const data = lines.slice(before + 1, end).filter((line) =>
    dataField.test(line)
  );
  return data.length === 1 && endMarker.test(data[0] ?? "");
}

function parseCount(text: string, field: string): number {
  return Number(new RegExp(`"${field}"\\s*:\\s*(\\d+)`).exec(text)?.[1] ?? 0);
}
