/** Limits what the messages of peers take once they are decoded. */

import type { ServiceDefinition } from "@grpc/grpc-js";
import { BinaryReader } from "@bufbuild/protobuf/wire";

/**
 * Maximum number of fields of a message: many times the entries of the largest
 * directory. An empty entry takes two bytes as a message, and some hundred decoded.
 */
const maxFields = 200_000;

/** Type on the wire of strings, bytes and messages. */
const lengthDelimited = 2;

/**
 * Returns a service whose responses are checked before they are decoded. The
 * fields of a message inside a response count, too, where its number is given.
 */
export function limitResponses<Service extends ServiceDefinition>(
  service: Service,
  { counted = [] }: { readonly counted?: readonly number[] } = {},
): Service {
  return Object.fromEntries(
    Object.entries(service).map(([name, method]) => [name, {
      ...method,
      responseDeserialize: (bytes: Buffer): unknown => {
        checkFields(bytes, counted);
        return method.responseDeserialize(bytes);
      },
    }]),
  ) as Service;
}

/** Throws when a message has too many fields. */
function checkFields(bytes: Buffer, counted: readonly number[]): void {
  let fields = 0;
  countFields(bytes, counted);

  function countFields(message: Uint8Array, inside: readonly number[]): void {
    const reader = new BinaryReader(message);
    while (reader.pos < reader.len) {
      if (fields++ >= maxFields) {
        throw new Error(`The message has more than ${maxFields} fields`);
      }
      const [field, wireType] = reader.tag();
      if (wireType === lengthDelimited && inside.includes(field)) {
        countFields(reader.bytes(), []);
      } else reader.skip(wireType, field);
    }
  }
}
