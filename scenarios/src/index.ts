/** Scenarios run by the tests; see `features/`. */
export {};
