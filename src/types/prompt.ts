/** Prompts as chains of parts that requests share. */

/** One part of a prompt. */
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
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** The caller's estimate of the answer, in tokens; often far off. */
  readonly hintedOutputTokens: number | undefined;
}
