// Includes the codecs of all messages and records. New code includes only the header that it needs.
#pragma once
#include "wire/cloud.hpp"
#include "wire/heartbeats.hpp"
#include "wire/job_records.hpp"
#include "wire/key_value.hpp"
#include "wire/peer.hpp"
#include "wire/placement_records.hpp"
#include "wire/submissions.hpp"
