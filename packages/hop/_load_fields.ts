import { asList, asNumber, asText } from "./_fields.ts";
import {
  NO_STATEMENT,
  packStatement,
  type StatementFields,
  unpackStatement,
} from "./_statement_fields.ts";
import type {
  AdmissionShare,
  LoadReport,
  RouteAdmission,
  RoutePressure,
} from "./frame.ts";

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
  admission?: readonly AdmissionShare[],
  routeAdmission?: readonly RouteAdmission[],
  pace?: number,
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
    ...packOptional(load),
  ];
}

function packOptional(
  { admission, pace, routeAdmission, statement }: LoadReport,
):
  | readonly []
  | readonly [StatementFields]
  | readonly [
    StatementFields,
    readonly AdmissionShare[],
    readonly RouteAdmission[],
    pace?: number,
  ] {
  const isAdmissionSent = admission !== undefined ||
    routeAdmission !== undefined || pace !== undefined;
  if (!isAdmissionSent) {
    return statement === undefined ? [] : [packStatement(statement)];
  }
  const stated = packStatement(statement ?? NO_STATEMENT);
  return pace === undefined
    ? [stated, admission ?? [], routeAdmission ?? []]
    : [stated, admission ?? [], routeAdmission ?? [], pace];
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
    ...unpackOptional(fields.slice(9)),
  };
}

function unpackOptional(
  [stated, admission, routeAdmission, pace]: readonly unknown[],
): Pick<
  LoadReport,
  "statement" | "admission" | "routeAdmission" | "pace"
> {
  const statement = stated === undefined ? undefined : unpackStatement(stated);
  return {
    ...(statement !== undefined && statement.workerId !== "" && { statement }),
    ...(admission !== undefined && { admission: unpackShares(admission) }),
    ...(routeAdmission !== undefined && {
      routeAdmission: asList(routeAdmission).map(unpackRouteAdmission),
    }),
    ...(pace !== undefined && { pace: asNumber(pace) }),
  };
}

function unpackShares(value: unknown): readonly AdmissionShare[] {
  return asList(value).map((entry) => {
    const [priority, share] = asList(entry);
    return [asNumber(priority), asNumber(share)];
  });
}

function unpackRouteAdmission(value: unknown): RouteAdmission {
  const [route, shares] = asList(value);
  return [asText(route), unpackShares(shares)];
}

function unpackRoutePressure(value: unknown): RoutePressure {
  const [route, pressure] = asList(value);
  return [asText(route), asNumber(pressure)];
}
