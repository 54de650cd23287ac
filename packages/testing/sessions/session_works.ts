/** Kind of request that callers of the examples send. */
export interface SessionWork {
  readonly organisation: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly bodyBytes: number;
}

function work(
  organisation: string,
  request: string,
  timeoutMs: number,
  bodyBytes = 0,
): SessionWork {
  const [method, service, path] = request.split(" ");
  return {
    organisation,
    service: service!,
    method: method!,
    path: path!,
    timeoutMs,
    bodyBytes,
  };
}

/** Requests of the two deployments by name. */
export const SESSION_WORKS = {
  "booking": work("fremantle-club", "POST bookings /orders", 4_000, 400),
  "meal payment": work("albany-club", "POST bookings /payments", 4_000, 300),
  "photo menu": work("print-office", "PUT uploads /menus", 15_000, 300_000),
  "allergen sheet": work("print-office", "PUT uploads /menus", 5_000, 20_000),
  "menu": work("fremantle-club", "GET menus /", 4_000),
  "member list": work("albany-club", "GET members /", 3_000),
  "measurement lookup": work("school-bands", "GET measures /", 1_000),
  "deposit": work("colliery-bands", "POST payments /deposits", 3_000, 200),
  "tailoring order": work("school-bands", "POST workroom /orders", 4_000, 900),
  "club list": work("fremantle-club", "GET members /", 3_000),
  "office list": work("print-office", "GET members /", 3_000),
  "colliery lookup": work("colliery-bands", "GET measures /", 1_000),
  "measures report": work("own-services", "GET measures /", 3_000),
} as const;

/** Name of a kind of request. */
export type SessionWorkName = keyof typeof SESSION_WORKS;
