/**
 * Generates the text of responses. All tokens follow from the draft's name,
 * which differs from run to run, so a splice of several runs is detected.
 */

import { createHash } from "node:crypto";

const words = [
  "paper",
  "garden",
  "letter",
  "window",
  "morning",
  "river",
  "colour",
  "table",
  "evening",
  "music",
  "friend",
  "harbour",
  "winter",
  "lantern",
  "story",
  "bridge",
];

/** Returns one token of a draft; the first token is the name of the draft. */
export function getDraftToken(draft: string, index: number): string {
  if (index === 0) return `[${draft}]`;
  const digest = createHash("sha256").update(`${draft}/${index}`).digest();
  return ` ${words[(digest[0] ?? 0) % words.length]}`;
}

/** Returns the whole text of a draft. */
export function getDraftText(draft: string, tokens: number): string {
  return Array.from(
    { length: tokens },
    (_, index) => getDraftToken(draft, index),
  ).join("");
}

/**
 * Classifies a text: a whole draft, the beginning of one, or anything else,
 * such as a splice of several drafts.
 */
export function classifyDraft(
  text: string,
  tokens: number,
): "whole" | "short" | "spliced" {
  const draft = /^\[([^\]]*)\]/.exec(text)?.[1];
  if (draft === undefined) return text === "" ? "short" : "spliced";
  const fullText = getDraftText(draft, tokens);
  if (text === fullText) return "whole";
  return fullText.startsWith(text) ? "short" : "spliced";
}
