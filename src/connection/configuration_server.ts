/** Serves the configuration to other members over gRPC. */

import { type Server, type ServerWritableStream, status } from "@grpc/grpc-js";
import {
  ControlServiceService,
  type PullConfigurationRequest,
  type PullConfigurationResponse,
} from "../generated/mimosatray/v1/control.ts";
import type {
  LocalConfigurationStore,
  ServedConfiguration,
} from "../version/configuration_store.ts";
import type { Snapshot } from "../version/snapshot.ts";

/** What the server needs from the process. */
export interface ConfigurationServerHost {
  readonly server: Server;
  readonly store: Pick<LocalConfigurationStore, "serve">;
  /** Counts the bytes of a transfer. */
  recordBytes(bytes: number, direction: "sent"): void;
}

type PullCall = ServerWritableStream<
  PullConfigurationRequest,
  PullConfigurationResponse
>;

/** Adds the method that serves the configuration to the process's server. */
export function addConfigurationServer(host: ConfigurationServerHost): void {
  // The other method of the service is added in member_pull.ts.
  const { pullConfiguration } = ControlServiceService;
  host.server.addService({ pullConfiguration }, {
    pullConfiguration: (call: PullCall) => {
      void sendConfiguration(call);
    },
  });

  async function sendConfiguration(call: PullCall): Promise<void> {
    const served = await host.store.serve(call.request.afterVersion);
    if (served === undefined) {
      call.emit("error", {
        code: status.UNAVAILABLE,
        details: "No configuration is loaded yet",
      });
      return;
    }
    let bytes = 0;
    for (const response of toResponses(served)) {
      bytes += getResponseSize(response);
      call.write(response);
    }
    host.recordBytes(bytes, "sent");
    call.end();
  }
}

/** Returns the size of a response's payload in bytes, without framing. */
export function getResponseSize({ part }: PullConfigurationResponse): number {
  return part === undefined
    ? 0
    : part.$case === "patch"
    ? Buffer.byteLength(part.value)
    : part.value.data.length;
}

function toResponses(
  served: ServedConfiguration,
): readonly PullConfigurationResponse[] {
  return served.kind === "patches"
    ? served.texts.map((value) => ({ part: { $case: "patch", value } }))
    : toSnapshotResponses(served.snapshot);
}

function toSnapshotResponses(
  snapshot: Snapshot,
): readonly PullConfigurationResponse[] {
  const { version, checksum, parts } = snapshot;
  return parts.map((part, index) => ({
    part: {
      $case: "snapshot",
      value: {
        version,
        index,
        count: parts.length,
        checksum,
        data: Buffer.from(part, "base64"),
      },
    },
  }));
}
