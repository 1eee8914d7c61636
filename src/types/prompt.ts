/** Prompts as sequences of parts that requests may have in common. */

/** One part of a prompt, which a prefix cache stores as a block. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** The prompt of one request. */
export interface Prompt {
  readonly model: string;
  /** Parts in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** Maximum number of output tokens. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output tokens, which is often far off. */
  readonly hintedOutputTokens: number | undefined;
}
