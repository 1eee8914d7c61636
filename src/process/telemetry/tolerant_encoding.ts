/**
 * Encodes messages of which one item may be at fault.
 *
 * Load pattern: messages between members are written by timers, several times a
 * second. One item that cannot be encoded would keep back all others, at each
 * time, and end the process by its errors.
 */

/** What encodes a message and creates an empty one. */
export interface MessageCodec<Message> {
  encode(message: Message): { finish(): Uint8Array };
  decode(bytes: Uint8Array): Message;
}

/** An encoded message. */
export interface TolerantEncoding {
  readonly bytes: Uint8Array;
  /** Fields of which something could not be encoded, once for each item. */
  readonly leftOut: readonly string[];
}

/**
 * Encodes a message. Where that fails, the items of lists that cannot be encoded
 * are left out, and other such fields have their defaults.
 */
export function encodeTolerantly<Message extends object>(
  codec: MessageCodec<Message>,
  message: Message,
): TolerantEncoding {
  const bytes = tryEncode(codec, message);
  if (bytes !== undefined) return { bytes, leftOut: [] };
  const empty = codec.decode(new Uint8Array());
  const leftOut: string[] = [];
  const kept = keepEncodable(message, empty, {
    canEncode: (fields) =>
      tryEncode(codec, { ...empty, ...fields }) !== undefined,
    leaveOut: (name) => leftOut.push(name),
  });
  return { bytes: codec.encode(kept).finish(), leftOut };
}

function tryEncode<Message>(
  codec: MessageCodec<Message>,
  message: Message,
): Uint8Array | undefined {
  try {
    return codec.encode(message).finish();
  } catch {
    // Which item is at fault is found by encoding each alone.
    return undefined;
  }
}

type Fields = Readonly<Record<string, unknown>>;

/** Judges the fields of a message. */
interface FieldCheck {
  /** Returns true when a message with these fields alone can be encoded. */
  canEncode(fields: Fields): boolean;
  leaveOut(name: string): void;
}

function keepEncodable<Message extends object>(
  message: Message,
  empty: Message,
  check: FieldCheck,
): Message {
  const defaults = empty as Fields;
  const entries = Object.entries(message).map(([name, value]) =>
    [name, keepField(name, value, { check, fallback: defaults[name] })] as const
  );
  return { ...empty, ...Object.fromEntries(entries) };
}

function keepField(
  name: string,
  value: unknown,
  { check, fallback }: {
    readonly check: FieldCheck;
    readonly fallback: unknown;
  },
): unknown {
  if (check.canEncode({ [name]: value })) return value;
  if (Array.isArray(value)) return keepItems(name, value, check);
  const kept = isMessage(value) ? tryKeepLists(name, value, check) : undefined;
  if (kept === undefined) check.leaveOut(name);
  return kept ?? fallback;
}

function keepItems(
  name: string,
  items: readonly unknown[],
  { canEncode, leaveOut }: FieldCheck,
): readonly unknown[] {
  const kept = items.filter((item) => canEncode({ [name]: [item] }));
  for (let left = kept.length; left < items.length; left++) leaveOut(name);
  return kept;
}

/**
 * Keeps the items of the lists in a nested message; undefined when something else
 * of it cannot be encoded.
 */
function tryKeepLists(
  name: string,
  message: Fields,
  check: FieldCheck,
): Fields | undefined {
  const lists = Object.entries(message).flatMap(([list, items]) =>
    Array.isArray(items) ? [[list, items as readonly unknown[]] as const] : []
  );
  const rest = {
    ...message,
    ...Object.fromEntries(lists.map(([list]) => [list, []])),
  };
  if (!check.canEncode({ [name]: rest })) return undefined;
  const kept = lists.map(([list, items]) =>
    [
      list,
      keepItems(list, items, {
        canEncode: (fields) =>
          check.canEncode({ [name]: { ...rest, ...fields } }),
        leaveOut: () => check.leaveOut(`${name}.${list}`),
      }),
    ] as const
  );
  return { ...rest, ...Object.fromEntries(kept) };
}

function isMessage(value: unknown): value is Fields {
  return typeof value === "object" && value !== null &&
    !ArrayBuffer.isView(value);
}
