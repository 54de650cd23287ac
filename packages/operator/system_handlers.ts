import type { ServiceImpl } from "@connectrpc/connect";
import type { AdmissionControl } from "@oleanderdeck/admission";
import { PRIORITIES, SHED_KEY_COUNT } from "@oleanderdeck/agreement";
import type {
  DocumentEditor,
  DocumentReplica,
} from "@oleanderdeck/configuration";
import { DeckError } from "@oleanderdeck/errors";
import type { MemberView } from "@oleanderdeck/membership";
import {
  type Member,
  MemberState,
  type OperatorService,
  WorkerState,
} from "@oleanderdeck/protocol";
import type { Clock } from "@oleanderdeck/settings";
import { orThrow } from "./document_handlers.ts";
import { explainAdmission } from "./explain_admission.ts";
import type { RolloutSource, WorkerControl } from "./operator_sources.ts";

/** Options of {@linkcode systemHandlers}: parts of a node to read and control. */
export interface SystemHandlerOptions {
  readonly editor: DocumentEditor;
  readonly replica: DocumentReplica;
  readonly members: MemberView;
  readonly admission: AdmissionControl;
  readonly workers: WorkerControl;
  readonly rollout: RolloutSource;
  readonly clock: Clock;
}

/** Handlers of the operator RPCs for the running system. */
export type SystemHandlers = Pick<
  ServiceImpl<typeof OperatorService>,
  "drain" | "undrain" | "status" | "explain" | "rollout"
>;

/**
 * Highest admission threshold. It exceeds the level of every request, so it
 * admits all of them.
 */
const HIGHEST_THRESHOLD = PRIORITIES.length * SHED_KEY_COUNT;

/** Rounds a value to an unsigned integer from 0 to `limit`. */
function toCount(value: number, limit = 0xffff_ffff): number {
  return Math.round(Math.min(Math.max(value, 0), limit));
}

function toLargeCount(value: number): bigint {
  return BigInt(toCount(value, Number.MAX_SAFE_INTEGER));
}

function memberStatus(member: Member) {
  const { worker } = member;
  return {
    nodeId: member.nodeId,
    dataCentre: member.dataCentre,
    state: (MemberState[member.state] ?? "UNSPECIFIED").toLowerCase(),
    service: worker?.service ?? "",
    workerAddress: worker?.address ?? "",
    workerState: worker === undefined
      ? ""
      : (WorkerState[worker.state] ?? "UNSPECIFIED").toLowerCase(),
    slots: worker?.slots ?? 0,
  };
}

function requireAddress(address: string): string {
  if (/^\S+:[0-9]{1,5}$/.test(address)) return address;
  throw new DeckError("malformed_request", {
    message: "A worker address of the form host:port is expected",
  });
}

/**
 * Returns the handlers of the operator RPCs for the running system.
 *
 * @param options Parts of the node.
 */
export function systemHandlers(options: SystemHandlerOptions): SystemHandlers {
  const { admission, clock, editor, members, replica, rollout, workers } =
    options;
  return {
    async drain({ workerAddress }) {
      orThrow(await workers.drain(requireAddress(workerAddress)));
      return {};
    },

    async undrain({ workerAddress }) {
      orThrow(await workers.undrain(requireAddress(workerAddress)));
      return {};
    },

    status() {
      const self = members.self();
      return {
        nodeId: self.nodeId,
        incarnation: self.incarnation,
        dataCentre: self.dataCentre,
        ready: replica.isReady(),
        members: members.members().map(memberStatus),
        services: admission.services().map((load) => ({
          service: load.service,
          running: toCount(load.running),
          queued: toCount(load.queued),
          slots: toCount(load.slots),
          threshold: toCount(load.threshold, HIGHEST_THRESHOLD),
        })),
        organisations: admission.usage().map((usage) => ({
          organisation: usage.organisation,
          admitted: toLargeCount(usage.admitted),
          refused: Object.fromEntries(
            Object.entries(usage.refused).map(([kind, count]) => [
              kind,
              toLargeCount(count),
            ]),
          ),
          slotMilliseconds: toLargeCount(usage.slotMilliseconds),
          borrowedSlotMilliseconds: toLargeCount(
            usage.borrowedSlotMilliseconds,
          ),
        })),
      };
    },

    explain(request) {
      if (!replica.isReady()) {
        const reasons = ["The node has no configuration yet"];
        return { admitted: false, kind: "not_ready", reasons };
      }
      const { refusal, reasons } = explainAdmission({
        organisation: request.organisation,
        service: request.service,
        method: request.method.toUpperCase() || "GET",
        path: request.path || "/",
        timeoutMs: request.timeoutMilliseconds,
      }, { view: replica.view(), admission, clock });
      return {
        admitted: refusal === undefined,
        kind: refusal ?? "",
        reasons: [...reasons],
      };
    },

    async rollout({ name }) {
      const counts = orThrow(await rollout.count(name));
      // The editor does not return deleted documents. The replica has their
      // versions, and the latest known version while the store is unavailable.
      const held = replica.documents().find((copy) => copy.name === name);
      const stored = (await editor.get(name))
        .map(({ version }) => version)
        .orDefault(held?.version ?? 0);
      return {
        storedVersion: BigInt(stored),
        counts: [...counts]
          .sort(([a], [b]) => b - a)
          .map(([version, nodes]) => ({ version: BigInt(version), nodes })),
      };
    },
  };
}
