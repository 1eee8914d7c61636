/** Mean sizes of the prompts of each service, from this router's requests. */

/** Weight of a new prompt in the moving average. */
const smoothingFactor = 0.02;

/** The sizes of the prompts of all services. */
export interface PromptSizes {
  /** Records the prompt of a request; one without tokens does not count. */
  record(service: string, tokens: number | undefined): void;
  /** Returns true for a prompt of more than the mean size of its service. */
  isLarge(service: string, tokens: number): boolean;
}

/** Creates sizes of which none is known. */
export function createPromptSizes(): PromptSizes {
  const means = new Map<string, number>();

  return {
    record: (service, tokens) => {
      if (tokens === undefined) return;
      const mean = means.get(service) ?? tokens;
      means.set(service, mean + (tokens - mean) * smoothingFactor);
    },
    isLarge: (service, tokens) => tokens > (means.get(service) ?? Infinity),
  };
}
