/** The scenarios have no library interface; the tests run those in `features/`. */
export {};
