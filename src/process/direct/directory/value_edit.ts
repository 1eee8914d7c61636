/**
 * Describes a large value by what differs from an earlier one.
 *
 * Load pattern: a configuration of a megabyte changes in one route, in quick
 * succession, and every router needs it. The whole value takes a slow link for
 * seconds; what differs fits in a datagram.
 */

/** A part of a value: a range of the earlier value, or new text. */
export type EditPiece =
  | { readonly kind: "range"; readonly from: number; readonly length: number }
  | { readonly kind: "text"; readonly text: string };

/** The new value of an entry; lengths are in UTF-16 code units. */
export interface ValueEdit {
  readonly key: string;
  readonly revision: number;
  /** Revision of the earlier value. */
  readonly baseRevision: number;
  /** Length of the new value. */
  readonly length: number;
  readonly pieces: readonly EditPiece[];
}

/** End of an object in JSON, at which values are split. */
const separator = "},";

/** Maximum number of pieces; a value with more is too different. */
const maxPieces = 2_000;

/** Maximum length of the new text, in UTF-16 code units. */
const maxTextLength = 64 * 1024;

/** Returns the pieces of a value; undefined when too much of it is new. */
export function findPieces(
  base: string,
  value: string,
): readonly EditPiece[] | undefined {
  const starts = indexParts(base);
  const pieces: EditPiece[] = [];
  let textLength = 0;
  let position = 0;
  while (position < value.length) {
    const end = getPartEnd(value, position);
    const part = value.slice(position, end);
    position = end;
    const from = starts.get(part);
    if (from === undefined) textLength += part.length;
    addPiece(
      pieces,
      from === undefined
        ? { kind: "text", text: part }
        : { kind: "range", from, length: part.length },
    );
    if (textLength > maxTextLength || pieces.length > maxPieces) {
      return undefined;
    }
  }
  return pieces;
}

/** Returns the new value; undefined when the pieces do not fit the base. */
export function applyPieces(
  base: string,
  { pieces, length }: Pick<ValueEdit, "length" | "pieces">,
): string | undefined {
  const value = pieces
    .map((piece) =>
      piece.kind === "text"
        ? piece.text
        : base.slice(piece.from, piece.from + piece.length)
    )
    .join("");
  return value.length === length ? value : undefined;
}

/** Returns where the parts of a value begin. */
function indexParts(value: string): ReadonlyMap<string, number> {
  const starts = new Map<string, number>();
  let position = 0;
  while (position < value.length) {
    const end = getPartEnd(value, position);
    starts.set(value.slice(position, end), position);
    position = end;
  }
  return starts;
}

function getPartEnd(value: string, start: number): number {
  const end = value.indexOf(separator, start);
  return end < 0 ? value.length : end + separator.length;
}

/** Adds a piece, joined with the one before it if that is of the same kind. */
function addPiece(pieces: EditPiece[], piece: EditPiece): void {
  const last = pieces.at(-1);
  if (last?.kind === "text" && piece.kind === "text") {
    pieces[pieces.length - 1] = { kind: "text", text: last.text + piece.text };
  } else if (
    last?.kind === "range" && piece.kind === "range" &&
    last.from + last.length === piece.from
  ) {
    const length = last.length + piece.length;
    pieces[pieces.length - 1] = { kind: "range", from: last.from, length };
  } else {
    pieces.push(piece);
  }
}
