/** Parses what operators ask in a dry run. */

import { type Either, Left, Right } from "purify-ts";
import { createReport, type Report } from "../types/diagnostics.ts";
import type { DryRunQuestion } from "../types/dry_run.ts";
import type { PromptPart } from "../types/prompt.ts";

/** Parses the query of a dry run. */
export function parseQuestion(
  query: URLSearchParams,
): Either<Report, DryRunQuestion> {
  const get = (name: string): string | undefined =>
    query.get(name) ?? undefined;
  const [service, host, path] = ["service", "host", "path"].map(get);
  const prompt = get("prompt");
  const parts = prompt === undefined ? undefined : tryParseParts(prompt);
  if (prompt !== undefined && parts === undefined) {
    return Left(createInvalid("prompt", "ID:TOKENS pairs"));
  }
  const common = {
    workspace: get("workspace"),
    resumes: get("resumes"),
    parts,
  };
  if (service !== undefined && host === undefined && path === undefined) {
    return Right({ place: { kind: "service", service }, ...common });
  }
  return service === undefined && host !== undefined && path !== undefined
    ? Right({ place: { kind: "path", host, path }, ...common })
    : Left(createInvalid("service", "given, or host and path instead of it"));
}

function createInvalid(field: string, expected: string): Report {
  return createReport("bad_field", { field, expected });
}

/** Parses `id:tokens` pairs, separated by commas; undefined if one is invalid. */
export function tryParseParts(text: string): readonly PromptPart[] | undefined {
  const parts = text.split(",").map((pair) => {
    const [, id = "", tokens] = /^\s*([^:\s]+):(\d+)\s*$/.exec(pair) ?? [];
    return { id, tokens: Number(tokens) };
  });
  return parts.every(({ tokens }) => tokens > 0) ? parts : undefined;
}
