import { asList, asNumber, asText } from "./_fields.ts";
import {
  packStatement,
  type StatementFields,
  unpackStatement,
} from "./_statement_fields.ts";
import type { LoadReport, RoutePressure } from "./frame.ts";

/** Fields of a load report in the order in which they are sent. */
export type LoadFields = readonly [
  running: number,
  waiting: number,
  slots: number,
  holdMs: number,
  failureShare: number,
  pressure: number,
  routePressures: LoadReport["routePressures"],
  repeatShare: number,
  unrepeatableRoutes: LoadReport["unrepeatableRoutes"],
  statement?: StatementFields,
];

/** Returns the fields of a load report as they are sent. */
export function packLoad(load: LoadReport): LoadFields {
  return [
    load.running,
    load.waiting,
    load.slots,
    load.holdMs,
    load.failureShare,
    load.pressure,
    load.routePressures,
    load.repeatShare,
    load.unrepeatableRoutes,
    ...(load.statement === undefined
      ? [] as const
      : [packStatement(load.statement)] as const),
  ];
}

/**
 * Decodes the fields of a load report.
 *
 * @throws {TypeError} If a field has another type than declared.
 */
export function unpackLoad(value: unknown): LoadReport {
  const fields = asList(value);
  return {
    running: asNumber(fields[0]),
    waiting: asNumber(fields[1]),
    slots: asNumber(fields[2]),
    holdMs: asNumber(fields[3]),
    failureShare: asNumber(fields[4]),
    pressure: asNumber(fields[5]),
    routePressures: asList(fields[6]).map(unpackRoutePressure),
    repeatShare: asNumber(fields[7]),
    unrepeatableRoutes: asList(fields[8]).map(asText),
    ...(fields[9] !== undefined && { statement: unpackStatement(fields[9]) }),
  };
}

function unpackRoutePressure(value: unknown): RoutePressure {
  const [route, pressure] = asList(value);
  return [asText(route), asNumber(pressure)];
}
