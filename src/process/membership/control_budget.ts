/** Counts control traffic and holds it to a hard limit. */

/** What bytes were spent for. */
export type ControlPurpose =
  | "membership"
  | "loads"
  | "configuration"
  | "crashes"
  | "limits"
  | "platform";

/** All purposes. */
export const controlPurposes: readonly ControlPurpose[] = [
  "membership",
  "loads",
  "configuration",
  "crashes",
  "limits",
  "platform",
];

/** Bytes of the IP and UDP headers of one datagram. */
export const datagramHeaderBytes = 28;

/** Estimated bytes of frames and headers around one gRPC or HTTP call. */
export const callOverheadBytes = 400;

/** Seconds of traffic that may be spent at once. */
const burstSeconds = 1;

/**
 * Kinds of messages, by the part of the budget that must be left for them:
 * the first to be dropped come first.
 */
export type ControlClass =
  | "load_probe"
  | "pull"
  | "limit"
  | "crash"
  | "member"
  | "probe"
  | "reply"
  | "urgent";

const reservedShare: Readonly<Record<ControlClass, number>> = {
  load_probe: 0.5,
  pull: 0.4,
  limit: 0.3,
  crash: 0.25,
  member: 0.2,
  probe: 0.15,
  reply: 0.1,
  urgent: 0,
};

/** The control budget of one process. */
export interface ControlBudget {
  /** Reserves bytes to send; false when the message is to be dropped. */
  trySpend(
    bytes: number,
    options: {
      readonly purpose: ControlPurpose;
      readonly class: ControlClass;
    },
  ): boolean;
  /** Counts bytes that came in or that cannot be refused. */
  recordTraffic(
    bytes: number,
    purpose: ControlPurpose,
    direction: TrafficDirection,
  ): void;
  /** Bytes so far of one purpose and direction. */
  getBytes(purpose: ControlPurpose, direction: TrafficDirection): number;
  /** Bytes so far by purpose and direction. */
  getTotals(): readonly ControlTotal[];
  /** Messages dropped so far by class. */
  getDropped(): Readonly<Record<string, number>>;
}

/** Which way bytes went. */
export type TrafficDirection = "sent" | "received";

/** Bytes of one purpose and direction. */
export interface ControlTotal {
  readonly purpose: ControlPurpose;
  readonly direction: TrafficDirection;
  readonly bytes: number;
}

/** Creates a full budget. */
export function createControlBudget(
  options: { readonly bytesPerSecond: number },
): ControlBudget {
  const capacityBytes = options.bytesPerSecond * burstSeconds;
  const totals = new Map<string, ControlTotal>();
  const dropped: Record<string, number> = {};
  let availableBytes = capacityBytes;
  let refilledAt = performance.now();

  return {
    trySpend,
    recordTraffic,
    getBytes: (purpose, direction) =>
      totals.get(`${purpose}/${direction}`)?.bytes ?? 0,
    getTotals: () => [...totals.values()],
    getDropped,
  };

  function trySpend(
    bytes: number,
    { purpose, class: kind }: {
      readonly purpose: ControlPurpose;
      readonly class: ControlClass;
    },
  ): boolean {
    refill();
    if (availableBytes - bytes < capacityBytes * reservedShare[kind]) {
      dropped[kind] = (dropped[kind] ?? 0) + 1;
      return false;
    }
    recordTraffic(bytes, purpose, "sent");
    return true;
  }

  function recordTraffic(
    bytes: number,
    purpose: ControlPurpose,
    direction: TrafficDirection,
  ): void {
    refill();
    // What comes in counts too, but never blocks what comes after it.
    availableBytes = Math.max(0, availableBytes - bytes);
    const key = `${purpose}/${direction}`;
    const total = totals.get(key)?.bytes ?? 0;
    totals.set(key, { purpose, direction, bytes: total + bytes });
  }

  function refill(): void {
    const now = performance.now();
    const refillBytes = (now - refilledAt) / 1_000 * options.bytesPerSecond;
    availableBytes = Math.min(capacityBytes, availableBytes + refillBytes);
    refilledAt = now;
  }

  function getDropped(): Readonly<Record<string, number>> {
    return dropped;
  }
}
