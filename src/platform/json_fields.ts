/** Reads fields of decoded documents whose shape is not to be trusted. */

/** A decoded table. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** The value as a table; undefined for anything else. */
export function tryGetObject(value: unknown): JsonObject | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as JsonObject : undefined;
}

/** The value as a list; empty for anything else. */
export function getArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** A text field; undefined when it is missing, empty or of another type. */
export function tryGetString(
  fields: JsonObject,
  name: string,
): string | undefined {
  const value = fields[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** A number field; `fallback` when it is missing or of another type. */
export function getNumber(
  fields: JsonObject,
  name: string,
  fallback: number,
): number {
  const value = fields[name];
  return typeof value === "number" && Number.isFinite(value) ? value : fallback;
}
