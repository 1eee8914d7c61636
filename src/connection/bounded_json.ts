/** Parses JSON of peers whose size alone does not bound what it takes. */

/**
 * Maximum number of values, counted by the marks between them. Each takes some 60
 * bytes, against 2 of its text.
 */
const maxValues = 500_000;

/** Characters that begin or follow a value. */
const marks = new Set([..."{[,"].map((mark) => mark.charCodeAt(0)));

/** Parses a text; throws when it is not JSON or has too many values. */
export function parseBoundedJson(text: string): unknown {
  if (text.length > maxValues && countMarks(text) > maxValues) {
    throw new Error(`The text has more than ${maxValues} values`);
  }
  return JSON.parse(text);
}

/** Counts the marks, those within strings included. */
function countMarks(text: string): number {
  let count = 0;
  for (let index = 0; index < text.length; index++) {
    if (marks.has(text.charCodeAt(index))) count++;
  }
  return count;
}
