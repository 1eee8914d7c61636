/** Reads fields of decoded JSON whose shape has not been validated. */

/** A decoded JSON object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Returns the value as an object; undefined for any other type. */
export function tryGetObject(value: unknown): JsonObject | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as JsonObject : undefined;
}

/** Returns the value as an array; an empty one for any other type. */
export function getArray(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : [];
}

/** Returns a string field; undefined when missing, empty or not a string. */
export function tryGetString(
  fields: JsonObject,
  name: string,
): string | undefined {
  const value = fields[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}

/** Returns a number field; `fallback` when missing or not a finite number. */
export function getNumber(
  fields: JsonObject,
  name: string,
  fallback: number,
): number {
  const value = fields[name];
  return typeof value === "number" && Number.isFinite(value) ? value : fallback;
}
