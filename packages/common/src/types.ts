/**
 * Branded identifiers and units shared by all packages.
 *
 * A branded id is a string at run time; the brand keeps, for example, a worker id
 * from being passed where an instance id is expected.
 */

declare const brand: unique symbol;

/** A `Base` tagged with `Name`; a plain `Base` is not assignable to it. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

export type InstanceId = Branded<string, "InstanceId">;
export type ZoneId = Branded<string, "ZoneId">;
export type JobId = Branded<string, "JobId">;
export type GrantId = Branded<string, "GrantId">;
/** Identity of a control replica, generated with its data folder; a replica that lost the folder gets a new one. */
export type MemberId = Branded<string, "MemberId">;

/** A duration or a point on a monotonic clock, in milliseconds. */
export type Milliseconds = number;

/** A point in time as milliseconds since the Unix epoch. */
export type WallMilliseconds = number;

/** Host and port of a listener, such as `127.0.0.1:7400`. */
export type Address = Branded<string, "Address">;
