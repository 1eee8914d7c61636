/** Validation rules for the fields of patches, services and workspaces. */

import type { Route } from "../types/configuration.ts";

/** Validation rule of one field. */
export interface EntryField {
  /** Completes the sentence "field must be ...". */
  readonly expected: string;
  accepts(value: unknown): boolean;
}

/** Rules by the path of the field, in the order in which fields are stored. */
export type EntryFields = Readonly<Record<string, EntryField>>;

const maxCount = 1_000_000;

/** Rule for names of services, workspaces and operators, and patch ids. */
export const nameField: EntryField = {
  expected: "a name of 1 to 64 letters, digits, dots, dashes and underscores",
  accepts: (value) =>
    typeof value === "string" && /^[A-Za-z0-9._-]{1,64}$/.test(value),
};

/** Rules for the fields of a patch, except its operations. */
export const draftFields: EntryFields = {
  id: nameField,
  operator: nameField,
  baseVersion: createIntegerField(0, Number.MAX_SAFE_INTEGER),
};

/** Rules for the fields of a service. */
export const serviceFields: EntryFields = {
  kind: {
    expected: '"model" or "plain"',
    accepts: (value) => value === "model" || value === "plain",
  },
  loadMultiple: {
    expected: "a number above 1 and up to 100",
    accepts: (value) => typeof value === "number" && value > 1 && value <= 100,
  },
  coldMultiple: {
    expected: "absent, or a number from 1 to 100",
    accepts: (value) =>
      value === undefined ||
      (typeof value === "number" && value >= 1 && value <= 100),
  },
  slots: createIntegerField(1, maxCount),
  queueLimit: createIntegerField(0, maxCount),
  "priorityWeights.interactive": createPositiveNumberField(),
  "priorityWeights.background": createPositiveNumberField(),
  retryBudget: {
    expected: "a number from 0 to 1",
    accepts: (value) => typeof value === "number" && value >= 0 && value <= 1,
  },
  checksFencing: {
    expected: "true or false",
    accepts: (value) => typeof value === "boolean",
  },
  routes: {
    expected: "a list of objects with method, pathPrefix and repeatable",
    accepts: (value) => Array.isArray(value) && value.every(isRoute),
  },
};

/** Rules for the fields of a workspace. */
export const workspaceFields: EntryFields = {
  weight: createPositiveNumberField(),
  requestsPerSecond: {
    expected: "a number from 0 to 1000000",
    accepts: (value) =>
      typeof value === "number" && value >= 0 && value <= maxCount,
  },
  services: {
    expected: "a list of service names",
    accepts: (value) =>
      Array.isArray(value) && value.every((name) => nameField.accepts(name)),
  },
};

function createIntegerField(min: number, max: number): EntryField {
  return {
    expected: `a whole number from ${min} to ${max}`,
    accepts: (value) =>
      Number.isInteger(value) && Number(value) >= min &&
      Number(value) <= max,
  };
}

function createPositiveNumberField(): EntryField {
  return {
    expected: `a number above 0 and up to ${maxCount}`,
    accepts: (value) =>
      typeof value === "number" && value > 0 && value <= maxCount,
  };
}

function isRoute(value: unknown): value is Route {
  if (typeof value !== "object" || value === null) return false;
  const route = value as Partial<Route>;
  return Object.keys(value).length === 3 &&
    typeof route.method === "string" && /^(\*|[A-Z]+)$/.test(route.method) &&
    typeof route.pathPrefix === "string" &&
    route.pathPrefix.startsWith("/") &&
    typeof route.repeatable === "boolean";
}
