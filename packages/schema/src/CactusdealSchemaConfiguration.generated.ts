/* Generated from schemas/configuration.json by `npm run generate`. Do not edit. */

/**
 * Name of a service, route, data centre, tenant, class or worker.
 */
export type Name = string;
/**
 * Priority of a call, most urgent first.
 */
export type Rank = 'critical' | 'high' | 'normal' | 'low';
/**
 * Whether a call may be retried after it may have run: an idempotent call may, an atMostOnce call never.
 */
export type Effect = 'idempotent' | 'atMostOnce';
/**
 * One change of the configuration, of a kind given by its type.
 */
export type Operation =
  SetService | RemoveService | SetRoute | RemoveRoute | SetDrain | RemoveDrain;
/**
 * A change that an operator requests.
 */
export type Intent =
  SetWeightsIntent | DrainWorkerIntent | UndrainWorkerIntent | ApplyOperationsIntent | RevertIntent;

/**
 * Configuration that operators set and that every daemon holds, and the records in which it is stored.
 */
export interface ConfigurationSchema {
  snapshot?: Snapshot;
  logEntry?: LogEntry;
  plan?: Plan;
  intent?: Intent;
  manifest?: Manifest;
  trimMark?: TrimMark;
  shard?: Shard;
  slotHolder?: SlotHolder;
}
/**
 * The whole configuration at one version.
 */
export interface Snapshot {
  version: number;
  services: {
    [k: string]: Service;
  };
  routes: {
    [k: string]: Route;
  };
  /**
   * Drained workers, by name.
   */
  drains: {
    [k: string]: Drain;
  };
}
/**
 * A service, which upstreams announce and to which routes send calls.
 */
export interface Service {
  tenant: Name;
  /**
   * Weight of each data centre when calls are distributed; 1 for a data centre that is not named, and 0 sends it no calls.
   */
  weights: {
    [k: string]: number;
  };
  /**
   * Largest number of calls in the queue of one gate.
   */
  queueLimit: number;
}
/**
 * Selects calls by method and path, the service that they are sent to, and how they are handled.
 */
export interface Route {
  service: Name;
  method: '*' | 'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE';
  pathPrefix: string;
  rank: Rank;
  class: Name;
  deadlineMs: number;
  effect: Effect;
  /**
   * Share of a gate's slots that is guaranteed to the class, however many calls of other classes arrive.
   */
  share: number;
  /**
   * Value of one call that is answered within its deadline, relative to other calls.
   */
  worth: number;
  maxBodyBytes: number;
}
/**
 * A worker that an operator has drained, so that it gets no new calls.
 */
export interface Drain {
  service: Name;
  reason: string;
}
/**
 * One accepted change, stored in the platform's log under its version.
 */
export interface LogEntry {
  version: number;
  /**
   * Version of the snapshot that the operations apply to.
   */
  baseVersion: number;
  planId: string;
  /**
   * @minItems 0
   * @maxItems 20000
   */
  operations: Operation[];
  /**
   * SHA-256 of the resulting snapshot, in hexadecimal.
   */
  hash: string;
  operator: string;
  acceptedAtMs: number;
  /**
   * Set when a reader could not decode the value in the log, with the reason; every daemon rejects such a version.
   */
  unreadable?: string;
}
export interface SetService {
  type: 'setService';
  name: Name;
  service: Service;
}
export interface RemoveService {
  type: 'removeService';
  name: Name;
}
export interface SetRoute {
  type: 'setRoute';
  name: Name;
  route: Route;
}
export interface RemoveRoute {
  type: 'removeRoute';
  name: Name;
}
export interface SetDrain {
  type: 'setDrain';
  name: Name;
  drain: Drain;
}
export interface RemoveDrain {
  type: 'removeDrain';
  name: Name;
}
/**
 * The changes that an intent would make; none is applied before the operator confirms the plan.
 */
export interface Plan {
  id: string;
  entry: LogEntry;
  intent: Intent;
  effects: PlanEffect[];
  warnings: string[];
}
export interface SetWeightsIntent {
  type: 'setWeights';
  service: Name;
  weights: {
    [k: string]: number;
  };
}
export interface DrainWorkerIntent {
  type: 'drainWorker';
  worker: Name;
  service: Name;
  reason: string;
}
export interface UndrainWorkerIntent {
  type: 'undrainWorker';
  worker: Name;
}
/**
 * Adds, changes or removes services and routes together.
 */
export interface ApplyOperationsIntent {
  type: 'applyOperations';
  /**
   * @minItems 1
   * @maxItems 20000
   */
  operations: Operation[];
}
/**
 * Restores the content of an older version as a new version.
 */
export interface RevertIntent {
  type: 'revert';
  toVersion: number;
}
/**
 * One change that a plan makes, and what it affects.
 */
export interface PlanEffect {
  subject: string;
  change: string;
  affects: string[];
}
/**
 * A checkpoint: complete snapshots, newest first, and the log entries after the newest of them.
 */
export interface Manifest {
  /**
   * Version of the newest log entry that the checkpoint covers.
   */
  headVersion: number;
  /**
   * @minItems 1
   */
  generations: Generation[];
  /**
   * Log entries after the newest generation, up to headVersion.
   */
  entries: LogEntry[];
}
/**
 * A complete snapshot, stored as shards.
 */
export interface Generation {
  version: number;
  hash: string;
  shards: ShardReference[];
}
/**
 * Key under which a shard of a snapshot is stored in the platform, with its hash and size.
 */
export interface ShardReference {
  key: string;
  /**
   * SHA-256 of the shard's canonical JSON, in hexadecimal.
   */
  hash: string;
  /**
   * Size of the stored, compressed value in bytes.
   */
  bytes: number;
}
/**
 * Versions up to which the log has been trimmed.
 */
export interface TrimMark {
  /**
   * Log entries up to this version are obsolete; written before any of them is removed.
   */
  trimmedThrough: number;
  /**
   * Log entries up to this version have been removed.
   */
  removedThrough: number;
}
/**
 * Some of the services, routes and drains of a snapshot.
 */
export interface Shard {
  services: {
    [k: string]: Service;
  };
  routes: {
    [k: string]: Route;
  };
  drains: {
    [k: string]: Drain;
  };
}
/**
 * The daemon that holds a reader slot or a roster slot under its lease.
 */
export interface SlotHolder {
  memberId: string;
  meshAddress: string;
}

/** The schema, for validation at run time. */
export const configurationSchema = {
  "$id": "configuration",
  "title": "ConfigurationSchema",
  "description": "Configuration that operators set and that every daemon holds, and the records in which it is stored.",
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "snapshot": {
      "$ref": "#/definitions/Snapshot"
    },
    "logEntry": {
      "$ref": "#/definitions/LogEntry"
    },
    "plan": {
      "$ref": "#/definitions/Plan"
    },
    "intent": {
      "$ref": "#/definitions/Intent"
    },
    "manifest": {
      "$ref": "#/definitions/Manifest"
    },
    "trimMark": {
      "$ref": "#/definitions/TrimMark"
    },
    "shard": {
      "$ref": "#/definitions/Shard"
    },
    "slotHolder": {
      "$ref": "#/definitions/SlotHolder"
    }
  },
  "definitions": {
    "Name": {
      "description": "Name of a service, route, data centre, tenant, class or worker.",
      "type": "string",
      "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"
    },
    "Rank": {
      "description": "Priority of a call, most urgent first.",
      "enum": [
        "critical",
        "high",
        "normal",
        "low"
      ]
    },
    "Effect": {
      "description": "Whether a call may be retried after it may have run: an idempotent call may, an atMostOnce call never.",
      "enum": [
        "idempotent",
        "atMostOnce"
      ]
    },
    "Service": {
      "description": "A service, which upstreams announce and to which routes send calls.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "tenant",
        "weights",
        "queueLimit"
      ],
      "properties": {
        "tenant": {
          "$ref": "#/definitions/Name"
        },
        "weights": {
          "description": "Weight of each data centre when calls are distributed; 1 for a data centre that is not named, and 0 sends it no calls.",
          "type": "object",
          "additionalProperties": {
            "type": "number",
            "minimum": 0,
            "maximum": 1000
          }
        },
        "queueLimit": {
          "description": "Largest number of calls in the queue of one gate.",
          "type": "integer",
          "minimum": 0,
          "maximum": 10000
        }
      }
    },
    "Route": {
      "description": "Selects calls by method and path, the service that they are sent to, and how they are handled.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "service",
        "method",
        "pathPrefix",
        "rank",
        "class",
        "deadlineMs",
        "effect",
        "share",
        "worth",
        "maxBodyBytes"
      ],
      "properties": {
        "service": {
          "$ref": "#/definitions/Name"
        },
        "method": {
          "enum": [
            "*",
            "GET",
            "HEAD",
            "POST",
            "PUT",
            "PATCH",
            "DELETE"
          ]
        },
        "pathPrefix": {
          "type": "string",
          "pattern": "^/[^\\s?#]*$",
          "maxLength": 512
        },
        "rank": {
          "$ref": "#/definitions/Rank"
        },
        "class": {
          "$ref": "#/definitions/Name"
        },
        "deadlineMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 600000
        },
        "effect": {
          "$ref": "#/definitions/Effect"
        },
        "share": {
          "description": "Share of a gate's slots that is guaranteed to the class, however many calls of other classes arrive.",
          "type": "number",
          "minimum": 0,
          "maximum": 1
        },
        "worth": {
          "description": "Value of one call that is answered within its deadline, relative to other calls.",
          "type": "number",
          "minimum": 0,
          "maximum": 1000000
        },
        "maxBodyBytes": {
          "type": "integer",
          "minimum": 0,
          "maximum": 1073741824
        }
      }
    },
    "Drain": {
      "description": "A worker that an operator has drained, so that it gets no new calls.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "service",
        "reason"
      ],
      "properties": {
        "service": {
          "$ref": "#/definitions/Name"
        },
        "reason": {
          "type": "string",
          "maxLength": 200
        }
      }
    },
    "Snapshot": {
      "description": "The whole configuration at one version.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "services",
        "routes",
        "drains"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "services": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Service"
          }
        },
        "routes": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Route"
          }
        },
        "drains": {
          "description": "Drained workers, by name.",
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Drain"
          }
        }
      }
    },
    "Operation": {
      "description": "One change of the configuration, of a kind given by its type.",
      "type": "object",
      "required": [
        "type"
      ],
      "discriminator": {
        "propertyName": "type"
      },
      "oneOf": [
        {
          "title": "SetService",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "service"
          ],
          "properties": {
            "type": {
              "const": "setService"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "service": {
              "$ref": "#/definitions/Service"
            }
          }
        },
        {
          "title": "RemoveService",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeService"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "SetRoute",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "route"
          ],
          "properties": {
            "type": {
              "const": "setRoute"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "route": {
              "$ref": "#/definitions/Route"
            }
          }
        },
        {
          "title": "RemoveRoute",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeRoute"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "SetDrain",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name",
            "drain"
          ],
          "properties": {
            "type": {
              "const": "setDrain"
            },
            "name": {
              "$ref": "#/definitions/Name"
            },
            "drain": {
              "$ref": "#/definitions/Drain"
            }
          }
        },
        {
          "title": "RemoveDrain",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "name"
          ],
          "properties": {
            "type": {
              "const": "removeDrain"
            },
            "name": {
              "$ref": "#/definitions/Name"
            }
          }
        }
      ]
    },
    "LogEntry": {
      "description": "One accepted change, stored in the platform's log under its version.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "baseVersion",
        "planId",
        "operations",
        "hash",
        "operator",
        "acceptedAtMs"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 1
        },
        "baseVersion": {
          "description": "Version of the snapshot that the operations apply to.",
          "type": "integer",
          "minimum": 0
        },
        "planId": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "operations": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/Operation"
          },
          "minItems": 0,
          "maxItems": 20000
        },
        "hash": {
          "description": "SHA-256 of the resulting snapshot, in hexadecimal.",
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "operator": {
          "type": "string",
          "minLength": 1,
          "maxLength": 100
        },
        "acceptedAtMs": {
          "type": "integer",
          "minimum": 0
        },
        "unreadable": {
          "description": "Set when a reader could not decode the value in the log, with the reason; every daemon rejects such a version.",
          "type": "string",
          "maxLength": 300
        }
      }
    },
    "Intent": {
      "description": "A change that an operator requests.",
      "type": "object",
      "required": [
        "type"
      ],
      "discriminator": {
        "propertyName": "type"
      },
      "oneOf": [
        {
          "title": "SetWeightsIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "service",
            "weights"
          ],
          "properties": {
            "type": {
              "const": "setWeights"
            },
            "service": {
              "$ref": "#/definitions/Name"
            },
            "weights": {
              "type": "object",
              "additionalProperties": {
                "type": "number",
                "minimum": 0,
                "maximum": 1000
              }
            }
          }
        },
        {
          "title": "DrainWorkerIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "worker",
            "service",
            "reason"
          ],
          "properties": {
            "type": {
              "const": "drainWorker"
            },
            "worker": {
              "$ref": "#/definitions/Name"
            },
            "service": {
              "$ref": "#/definitions/Name"
            },
            "reason": {
              "type": "string",
              "maxLength": 200
            }
          }
        },
        {
          "title": "UndrainWorkerIntent",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "worker"
          ],
          "properties": {
            "type": {
              "const": "undrainWorker"
            },
            "worker": {
              "$ref": "#/definitions/Name"
            }
          }
        },
        {
          "title": "ApplyOperationsIntent",
          "description": "Adds, changes or removes services and routes together.",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "operations"
          ],
          "properties": {
            "type": {
              "const": "applyOperations"
            },
            "operations": {
              "type": "array",
              "items": {
                "$ref": "#/definitions/Operation"
              },
              "minItems": 1,
              "maxItems": 20000
            }
          }
        },
        {
          "title": "RevertIntent",
          "description": "Restores the content of an older version as a new version.",
          "type": "object",
          "additionalProperties": false,
          "required": [
            "type",
            "toVersion"
          ],
          "properties": {
            "type": {
              "const": "revert"
            },
            "toVersion": {
              "type": "integer",
              "minimum": 0
            }
          }
        }
      ]
    },
    "PlanEffect": {
      "description": "One change that a plan makes, and what it affects.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "subject",
        "change",
        "affects"
      ],
      "properties": {
        "subject": {
          "type": "string"
        },
        "change": {
          "type": "string"
        },
        "affects": {
          "type": "array",
          "items": {
            "type": "string"
          }
        }
      }
    },
    "Plan": {
      "description": "The changes that an intent would make; none is applied before the operator confirms the plan.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "id",
        "entry",
        "intent",
        "effects",
        "warnings"
      ],
      "properties": {
        "id": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "entry": {
          "$ref": "#/definitions/LogEntry"
        },
        "intent": {
          "$ref": "#/definitions/Intent"
        },
        "effects": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/PlanEffect"
          }
        },
        "warnings": {
          "type": "array",
          "items": {
            "type": "string"
          }
        }
      }
    },
    "ShardReference": {
      "description": "Key under which a shard of a snapshot is stored in the platform, with its hash and size.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "key",
        "hash",
        "bytes"
      ],
      "properties": {
        "key": {
          "type": "string",
          "minLength": 1,
          "maxLength": 256
        },
        "hash": {
          "description": "SHA-256 of the shard's canonical JSON, in hexadecimal.",
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "bytes": {
          "description": "Size of the stored, compressed value in bytes.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "Generation": {
      "description": "A complete snapshot, stored as shards.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "version",
        "hash",
        "shards"
      ],
      "properties": {
        "version": {
          "type": "integer",
          "minimum": 0
        },
        "hash": {
          "type": "string",
          "pattern": "^[0-9a-f]{64}$"
        },
        "shards": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/ShardReference"
          }
        }
      }
    },
    "Manifest": {
      "description": "A checkpoint: complete snapshots, newest first, and the log entries after the newest of them.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "headVersion",
        "generations",
        "entries"
      ],
      "properties": {
        "headVersion": {
          "description": "Version of the newest log entry that the checkpoint covers.",
          "type": "integer",
          "minimum": 0
        },
        "generations": {
          "type": "array",
          "items": {
            "$ref": "#/definitions/Generation"
          },
          "minItems": 1
        },
        "entries": {
          "description": "Log entries after the newest generation, up to headVersion.",
          "type": "array",
          "items": {
            "$ref": "#/definitions/LogEntry"
          }
        }
      }
    },
    "TrimMark": {
      "description": "Versions up to which the log has been trimmed.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "trimmedThrough",
        "removedThrough"
      ],
      "properties": {
        "trimmedThrough": {
          "description": "Log entries up to this version are obsolete; written before any of them is removed.",
          "type": "integer",
          "minimum": 0
        },
        "removedThrough": {
          "description": "Log entries up to this version have been removed.",
          "type": "integer",
          "minimum": 0
        }
      }
    },
    "Shard": {
      "description": "Some of the services, routes and drains of a snapshot.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "services",
        "routes",
        "drains"
      ],
      "properties": {
        "services": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Service"
          }
        },
        "routes": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Route"
          }
        },
        "drains": {
          "type": "object",
          "additionalProperties": {
            "$ref": "#/definitions/Drain"
          }
        }
      }
    },
    "SlotHolder": {
      "description": "The daemon that holds a reader slot or a roster slot under its lease.",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "memberId",
        "meshAddress"
      ],
      "properties": {
        "memberId": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        },
        "meshAddress": {
          "type": "string",
          "minLength": 1,
          "maxLength": 64
        }
      }
    }
  }
} as const;
