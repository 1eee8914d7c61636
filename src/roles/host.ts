/** Dependencies of the fleet exchange and of the roles of a process. */

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

/** Dependencies of the exchange with the rest of the fleet. */
export interface FleetHost {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly configuration: ConfigurationStore;
  readonly log: Log;
  readonly metrics: Metrics;
  /**
   * The gRPC server of the process. Components add their services when they
   * are created; `startProcess` binds the server once all of them exist.
   */
  readonly server: Server;
  /** The control budget of the process; the fleet creates one by default. */
  readonly budget?: ControlBudget;
}

/** Dependencies of every role. */
export interface RoleHost extends FleetHost {
  readonly fleet: Fleet;
}

/** Dependencies of the agent role. */
export interface AgentHost extends RoleHost {
  readonly settings: AgentSettings;
}

/** Dependencies of the router role. */
export interface RouterHost extends RoleHost {
  readonly settings: RouterSettings;
}
