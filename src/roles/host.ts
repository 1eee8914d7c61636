/** What the parts of a process are given when they are put together. */

import type { Server } from "@grpc/grpc-js";
import type { ControlBudget } from "../process/membership/control_budget.ts";
import type { Log } from "../process/telemetry/log.ts";
import type { Metrics } from "../process/telemetry/metrics.ts";
import type { Platform } from "../types/platform.ts";
import type { ConfigurationStore, Fleet } from "../types/role.ts";
import type {
  AgentSettings,
  RouterSettings,
  Settings,
} from "../types/settings.ts";

/** What the exchange with the rest of the fleet is given. */
export interface FleetHost {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly configuration: ConfigurationStore;
  readonly log: Log;
  readonly metrics: Metrics;
  /**
   * The gRPC server of the process. Parts add their services when they are
   * created; the process shell binds it once all parts are there.
   */
  readonly server: Server;
  /** The control budget of the process; the fleet makes one when absent. */
  readonly budget?: ControlBudget;
}

/** What every role is given. */
export interface RoleHost extends FleetHost {
  readonly fleet: Fleet;
}

/** What an agent is given. */
export interface AgentHost extends RoleHost {
  readonly settings: AgentSettings;
}

/** What a router is given. */
export interface RouterHost extends RoleHost {
  readonly settings: RouterSettings;
}
