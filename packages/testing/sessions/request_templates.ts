/** Organisation, target, timeout and body size of a kind of request. */
export interface RequestTemplate {
  readonly organisation: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly timeoutMs: number;
  readonly bodyBytes: number;
}

function template(
  organisation: string,
  request: string,
  timeoutMs: number,
  bodyBytes = 0,
): RequestTemplate {
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

/** Request templates of the two example deployments by name. */
export const REQUEST_TEMPLATES = {
  "booking": template("fremantle-club", "POST bookings /orders", 4_000, 400),
  "meal payment": template(
    "albany-club",
    "POST bookings /payments",
    4_000,
    300,
  ),
  "photo menu": template("print-office", "PUT uploads /menus", 15_000, 300_000),
  "allergen sheet": template(
    "print-office",
    "PUT uploads /menus",
    5_000,
    20_000,
  ),
  "menu": template("fremantle-club", "GET menus /", 4_000),
  "member list": template("albany-club", "GET members /", 3_000),
  "measurement lookup": template("school-bands", "GET measures /", 1_000),
  "deposit": template("colliery-bands", "POST payments /deposits", 3_000, 200),
  "tailoring order": template(
    "school-bands",
    "POST workroom /orders",
    4_000,
    900,
  ),
  "club list": template("fremantle-club", "GET members /", 3_000),
  "office list": template("print-office", "GET members /", 3_000),
  "colliery lookup": template("colliery-bands", "GET measures /", 1_000),
  "measures report": template("own-services", "GET measures /", 3_000),
} as const;

/** Name of a request template. */
export type RequestTemplateName = keyof typeof REQUEST_TEMPLATES;
