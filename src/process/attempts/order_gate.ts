/**
 * Sends orders to one engine, one at a time, by ascending fencing number.
 *
 * The platform's service stores the highest number. It is written with a
 * compare-and-swap before an order is sent, so it survives a restart of the
 * agent. That suffices for an engine that refuses old numbers. For one that
 * ignores them, the swap also starts a lease: its holder sends only within the
 * lease, and a new holder first waits for the previous lease and the longest
 * order to end. Each measures time from its own swap, so the clocks of two
 * processes are never compared.
 */

import PQueue from "p-queue";
import type { DiagnosticCode } from "../../types/diagnostics.ts";
import type { Entry, Platform, PlatformError } from "../../types/platform.ts";

/** An order to an engine. */
export interface TargetOrder {
  readonly action: string;
  readonly adapter: string;
  readonly fencingNumber: number;
  readonly operator: string;
}

/** Result of sending an order to the engine. */
export type OrderOutcome = "accepted" | "fenced" | "bad_action" | "unknown";

/** Decision on an order. */
export type OrderDecision =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly code: DiagnosticCode };

/** What the gate needs from its agent. */
export interface OrderGateHost {
  readonly platform: Pick<Platform, "get" | "put">;
  /** Sends an order, which must not take effect later than `maxOrderMs`. */
  send(order: TargetOrder): Promise<OrderOutcome>;
  /** Returns true when the engine refuses orders with old numbers. */
  checksFencing(): boolean;
}

/** Record key, holder and times of a gate. */
export interface OrderGateOptions {
  /** Key of the record in the platform's service. */
  readonly key: string;
  /** Name of this process, unique among all that ever hold the record. */
  readonly holder: string;
  /** Time after the swap in which an order may be sent, in milliseconds. */
  readonly leaseMs: number;
  /** Maximum time from sending an order to its effect, in milliseconds. */
  readonly maxOrderMs: number;
}

/** Order gate of one engine. */
export interface OrderGate {
  submit(order: TargetOrder): Promise<OrderDecision>;
  /** Returns the highest fencing number that this process has seen. */
  getHighestNumber(): number;
}

/** The record as stored in the platform's service. */
interface OrderRecord {
  readonly fencingNumber: number;
  readonly operator: string;
  readonly holder: string;
}

/** Maximum number of tries to swap the record for one order. */
const maxSwapTries = 4;

/** Diagnostic codes of the outcomes that refuse an order. */
const refusalCodes: Readonly<
  Record<Exclude<OrderOutcome, "accepted">, DiagnosticCode>
> = {
  fenced: "order_fenced",
  bad_action: "bad_field",
  unknown: "outcome_unknown",
};

/** Creates the gate of one engine. */
export function createOrderGate(
  host: OrderGateHost,
  options: OrderGateOptions,
): OrderGate {
  const queue = new PQueue({ concurrency: 1 });
  let highestNumber = 0;

  return { submit, getHighestNumber: () => highestNumber };

  async function submit(order: TargetOrder): Promise<OrderDecision> {
    if (order.fencingNumber < highestNumber) return refuse("order_fenced");
    const decision = await queue.add(() => execute(order));
    return decision ?? refuse("outcome_unknown");
  }

  async function execute(order: TargetOrder): Promise<OrderDecision> {
    const swap = await swapRecord(order);
    if (swap.kind === "refused") return swap;
    if (swap.replaced && !host.checksFencing()) {
      await wait(options.leaseMs + options.maxOrderMs);
      // The lease ended during the wait; another holder may have taken over.
      const renewed = await swapRecord(order);
      if (renewed.kind === "refused") return renewed;
      if (renewed.replaced) return refuse("order_fenced");
      return await send(order, renewed.leaseUntil);
    }
    return await send(order, swap.leaseUntil);
  }

  async function send(
    order: TargetOrder,
    leaseUntil: number,
  ): Promise<OrderDecision> {
    if (Date.now() >= leaseUntil) return refuse("order_fenced");
    const outcome = await host.send(order);
    return outcome === "accepted"
      ? { kind: "accepted" }
      : refuse(refusalCodes[outcome]);
  }

  /** Writes the order's number to the record unless it holds a higher one. */
  async function swapRecord(order: TargetOrder): Promise<
    | Extract<OrderDecision, { kind: "refused" }>
    | {
      readonly kind: "swapped";
      /** True when the record had another holder or number before. */
      readonly replaced: boolean;
      readonly leaseUntil: number;
    }
  > {
    let replaced = false;
    for (let swaps = 0; swaps < maxSwapTries; swaps++) {
      const read = await host.platform.get(options.key).run();
      if (read.isLeft()) return refuse("platform_unavailable");
      const entry = read.unsafeCoerce();
      const record = parseRecord(entry);
      highestNumber = Math.max(highestNumber, record?.fencingNumber ?? 0);
      if (record !== undefined && supersedes(record, order)) {
        return refuse("order_fenced");
      }
      replaced ||= record !== undefined && !isOwn(record, order);
      // The lease starts before the swap is sent.
      const leaseUntil = Date.now() + options.leaseMs;
      const put = await putRecord(order, entry);
      if (put.isRight()) {
        highestNumber = Math.max(highestNumber, order.fencingNumber);
        return { kind: "swapped", replaced, leaseUntil };
      }
      const { kind } = put.extract() as PlatformError;
      if (kind === "unavailable" || kind === "over_budget") {
        return refuse("platform_unavailable");
      }
    }
    return refuse("platform_unavailable");
  }

  function putRecord(order: TargetOrder, entry: Entry | undefined) {
    const record: OrderRecord = {
      fencingNumber: order.fencingNumber,
      operator: order.operator,
      holder: options.holder,
    };
    return host.platform.put(options.key, JSON.stringify(record), {
      expectedRevision: entry?.revision ?? 0,
    }).run();
  }

  /**
   * Returns true when the record fences the order. An equal number of another
   * operator fences it like a higher one.
   */
  function supersedes(record: OrderRecord, order: TargetOrder): boolean {
    return record.fencingNumber > order.fencingNumber ||
      record.fencingNumber === order.fencingNumber &&
        record.operator !== order.operator;
  }

  function isOwn(record: OrderRecord, order: TargetOrder): boolean {
    return record.holder === options.holder &&
      record.fencingNumber === order.fencingNumber;
  }
}

function refuse(
  code: DiagnosticCode,
): Extract<OrderDecision, { kind: "refused" }> {
  return { kind: "refused", code };
}

function parseRecord(entry: Entry | undefined): OrderRecord | undefined {
  if (entry === undefined) return undefined;
  const value = JSON.parse(entry.value) as Partial<OrderRecord>;
  return {
    fencingNumber: value.fencingNumber ?? Number.MAX_SAFE_INTEGER,
    operator: value.operator ?? "",
    holder: value.holder ?? "",
  };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
