/** Reads the token count, the usage and the end mark off a passing answer. */

import { noUsage, type Usage } from "../types/response.ts";
import type { Header } from "../types/work.ts";

/** Bytes at the end of an answer in which its usage is looked for. */
const tailBytes = 4 * 1024;

/** Line feed, which ends the lines of an event stream. */
const lineFeed = 10;

/** What is read off one answer. */
export interface AnswerScan {
  add(data: Uint8Array): void;
  /** Tokens generated so far; one for each event of a stream. */
  getTokens(): number;
  /** False for an event stream without its end mark. */
  isWhole(): boolean;
  getUsage(): Usage;
}

/** Creates the scan of an answer with these headers. */
export function createAnswerScan(headers: readonly Header[]): AnswerScan {
  const streamed = headers.some(({ name, value }) =>
    name === "content-type" && value.startsWith("text/event-stream")
  );
  const recent: Uint8Array[] = [];
  let recentBytes = 0;
  let tokens = 0;
  let afterLineFeed = false;

  return { add, getTokens: () => tokens, isWhole, getUsage };

  function add(data: Uint8Array): void {
    if (streamed) countEvents(data);
    recent.push(data);
    recentBytes += data.byteLength;
    // The first piece goes once the others alone make up the tail.
    while (recentBytes - (recent[0]?.byteLength ?? 0) >= tailBytes) {
      recentBytes -= recent.shift()?.byteLength ?? 0;
    }
  }

  function getTail(): string {
    return Buffer.concat(recent).subarray(-tailBytes).toString();
  }

  /** An event ends with an empty line, which two chunks may share. */
  function countEvents(data: Uint8Array): void {
    for (const byte of data) {
      if (byte === lineFeed && afterLineFeed) {
        tokens++;
        afterLineFeed = false;
      } else {
        afterLineFeed = byte === lineFeed;
      }
    }
  }

  function isWhole(): boolean {
    return !streamed || getTail().trimEnd().endsWith("data: [DONE]");
  }

  function getUsage(): Usage {
    const text = getTail();
    const from = text.lastIndexOf('"usage"');
    if (from < 0) return noUsage;
    const part = text.slice(from);
    return {
      promptTokens: readCount(part, "prompt_tokens"),
      outputTokens: readCount(part, "completion_tokens"),
      cachedTokens: readCount(part, "cached_tokens"),
    };
  }
}

function readCount(text: string, field: string): number {
  return Number(new RegExp(`"${field}"\\s*:\\s*(\\d+)`).exec(text)?.[1] ?? 0);
}
