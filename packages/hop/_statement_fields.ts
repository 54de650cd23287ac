import { asList, asNonNegative, asText } from "./_fields.ts";
import type { WorkerStatement } from "./frame.ts";

/** Fields of a worker's statement in the order in which they are sent. */
export type StatementFields = readonly [
  workerId: string,
  startedAt: number,
  requestsPerSecond: number | null,
  isLeaving: 0 | 1,
];

/**
 * Takes the place of an absent statement where further fields follow. Earlier
 * releases read it as one of a worker that does not exist.
 */
export const NO_STATEMENT: WorkerStatement = {
  workerId: "",
  startedAt: 0,
  requestsPerSecond: undefined,
  isLeaving: false,
};

/** Returns the fields of a statement as they are sent. */
export function packStatement(statement: WorkerStatement): StatementFields {
  const { workerId, startedAt, requestsPerSecond, isLeaving } = statement;
  return [workerId, startedAt, requestsPerSecond ?? null, isLeaving ? 1 : 0];
}

/**
 * Decodes the fields of a statement.
 *
 * @throws {TypeError} If a field has another type or value than declared.
 */
export function unpackStatement(value: unknown): WorkerStatement {
  const [workerId, startedAt, requestsPerSecond, isLeaving] = asList(value);
  return {
    workerId: asText(workerId),
    startedAt: asNonNegative(startedAt),
    requestsPerSecond: requestsPerSecond === null
      ? undefined
      : asNonNegative(requestsPerSecond),
    isLeaving: isLeaving === 1,
  };
}
