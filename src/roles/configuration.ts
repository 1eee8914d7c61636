/** Creates the configuration of one process and connects it to the fleet. */

import type { Server } from "@grpc/grpc-js";
import { createConfigurationClient } from "../connection/configuration_client.ts";
import { addConfigurationServer } from "../connection/configuration_server.ts";
import {
  callOverheadBytes,
  type ControlBudget,
} from "../process/membership/control_budget.ts";
import { loadHash } from "../process/placement/hash.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import { isWatcher } from "../process/membership/watcher_selection.ts";
import type { Platform } from "../types/platform.ts";
import type { Fleet } from "../types/role.ts";
import { createCodec } from "../version/codec.ts";
import {
  createConfigurationStore,
  type LocalConfigurationStore,
} from "../version/configuration_store.ts";

/** Dependencies of the configuration of a process. */
export interface ConfigurationHost {
  readonly platform: Platform;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly server: Server;
  /**
   * Control budget that configuration transfers are counted in. They are too
   * rare to be refused by it.
   */
  readonly budget: ControlBudget;
  /** Returns the fleet, which is created after the configuration. */
  getFleet(): Fleet;
}

/** The configuration of one process and its connections to peers. */
export interface LocalConfiguration {
  readonly store: LocalConfigurationStore;
  close(): void;
}

/** Creates the configuration of a process and serves it to peers. */
export async function createConfiguration(
  host: ConfigurationHost,
): Promise<LocalConfiguration> {
  const { platform, log, metrics, server, getFleet } = host;
  const recordBytes = (bytes: number, direction: "sent" | "received"): void =>
    host.budget.recordTraffic(
      bytes + callOverheadBytes,
      "configuration",
      direction,
    );
  const client = createConfigurationClient({ recordBytes });
  const store = createConfigurationStore({
    platform,
    log,
    metrics,
    codec: createCodec({ hash: await loadHash() }),
    pull: client.pull,
    getPeers: () => {
      const { id } = getFleet().getSelf();
      return getFleet().members.getMembers()
        .filter((member) => member.id !== id && member.state !== "dead");
    },
    isWatcher: () =>
      isWatcher(getFleet().getSelf(), getFleet().members.getMembers()),
    spreadPatch: (patch) => getFleet().spreadPatch(patch),
  });
  addConfigurationServer({ server, store, recordBytes });
  return { store, close: client.close };
}
