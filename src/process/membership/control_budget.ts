/**
 * Limits control traffic to a fixed rate with a token bucket. When the fleet
 * grows or many members change at once, less important messages are dropped.
 */

/** The purpose that control bytes are counted under. */
export type ControlPurpose =
  | "membership"
  | "loads"
  | "configuration"
  | "crashes"
  | "limits"
  | "platform";

/** All purposes of control traffic. */
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

/** Burst that the bucket holds, in seconds of traffic at the full rate. */
const burstSeconds = 1;

/** Classes of messages, in the order in which they are dropped. */
export type ControlClass =
  | "load_probe"
  | "pull"
  | "limit"
  | "crash"
  | "member"
  | "probe"
  | "reply"
  | "urgent";

/** Share of the bucket that must remain after a message of the class. */
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

/** The token bucket of one process, with its traffic counters. */
export interface ControlBudget {
  /** Reserves bytes to send; returns false when the message is dropped. */
  trySpend(
    bytes: number,
    options: {
      readonly purpose: ControlPurpose;
      readonly class: ControlClass;
    },
  ): boolean;
  /** Counts bytes that were received or that must be sent in any case. */
  recordTraffic(
    bytes: number,
    purpose: ControlPurpose,
    direction: TrafficDirection,
  ): void;
  /** Returns the bytes so far of one purpose and direction. */
  getBytes(purpose: ControlPurpose, direction: TrafficDirection): number;
  /** Returns the bytes so far of all purposes and directions. */
  getTotals(): readonly ControlTotal[];
  /** Returns the number of messages dropped so far, by class. */
  getDropped(): Readonly<Record<string, number>>;
}

/** Direction of traffic, as this process sees it. */
export type TrafficDirection = "sent" | "received";

/** Total bytes of one purpose and direction. */
export interface ControlTotal {
  readonly purpose: ControlPurpose;
  readonly direction: TrafficDirection;
  readonly bytes: number;
}

/** Creates a budget with a full bucket. */
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
    // Received bytes count too, but leave no debt that blocks later messages.
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
