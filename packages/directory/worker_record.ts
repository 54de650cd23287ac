import { isIPv4 } from "node:net";
import type { StorePosition } from "./store_era.ts";

/** Highest port of an address. */
const MAX_PORT = 65_535;

/**
 * Record that the node beside a worker publishes about itself and the worker.
 */
export interface WorkerRecord {
  /** Name of the host's node, which is also the name of the record. */
  readonly node: string;
  /** Address at which the node accepts links from other nodes, as host:port. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Maximum number of calls that the worker runs at the same time. */
  readonly slots: number;
  /** Identity of the worker's incarnation. */
  readonly workerId: string;
}

/** Record with the position in the store's history at which it was written. */
export interface StoredRecord extends StorePosition {
  readonly record: WorkerRecord;
}

/**
 * What the store holds for a node in place of its record after its worker has
 * left, so that processes which start later know it.
 */
export interface WorkerDeparture {
  /** Identity of the worker's incarnation. */
  readonly workerId: string;
  /** Time of its start in milliseconds since 1970; 0 if it is not known. */
  readonly startedAt: number;
  /** Time of its leaving in milliseconds since 1970. */
  readonly leftAt: number;
}

/** Departure with its node and the position at which it was written. */
export interface StoredDeparture extends StorePosition {
  readonly node: string;
  readonly departure: WorkerDeparture;
}

/** Returns whether a decoded value is the departure of a worker. */
export function isWorkerDeparture(value: unknown): value is WorkerDeparture {
  if (typeof value !== "object" || value === null) return false;
  const { workerId, startedAt, leftAt } = value as Partial<WorkerDeparture>;
  return typeof workerId === "string" && isNonNegativeInteger(startedAt) &&
    isNonNegativeInteger(leftAt);
}

/**
 * Returns whether a decoded value is a record of a worker. Other programs may
 * write records, and peers may run another release.
 */
export function isWorkerRecord(value: unknown): value is WorkerRecord {
  if (typeof value !== "object" || value === null) return false;
  const { node, address, service, dataCentre, slots, workerId } = value as
    & WorkerRecord
    & Readonly<Record<string, unknown>>;
  return [node, service, dataCentre, workerId].every((text) =>
    typeof text === "string"
  ) && isAddress(address) && isNonNegativeInteger(slots);
}

/** Returns whether a decoded value is a record with a revision. */
export function isStoredRecord(value: unknown): value is StoredRecord {
  if (typeof value !== "object" || value === null) return false;
  const { era = 0, record, revision } = value as Partial<StoredRecord>;
  return isWorkerRecord(record) && isNonNegativeInteger(revision) &&
    isNonNegativeInteger(era);
}

function isNonNegativeInteger(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAddress(value: unknown): boolean {
  if (typeof value !== "string") return false;
  const [host, port, ...rest] = value.split(":");
  return rest.length === 0 && isIPv4(host!) && /^\d{1,5}$/.test(port ?? "") &&
    Number(port) > 0 && Number(port) <= MAX_PORT;
}

/** Returns whether all fields of two records are equal. */
export function isSameRecord(one: WorkerRecord, other: WorkerRecord): boolean {
  return one.node === other.node && one.address === other.address &&
    one.service === other.service && one.dataCentre === other.dataCentre &&
    one.slots === other.slots && one.workerId === other.workerId;
}
