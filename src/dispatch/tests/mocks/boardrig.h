#pragma once

#include "dispatch/upstreamboard.h"

#include <memory>
#include <string>
#include <vector>

namespace persimmon::dispatch {

/// A board with three open groups of two and three plain upstreams.
struct board_rig
{
  upstream_board board{ zone_name{ "here" } };

  board_rig()
  {
    routes::configuration declared;
    routes::service_profile engines;
    engines.name = { "llm" };
    engines.engine = Engine();
    routes::service_profile desk;
    desk.name = { "desk" };
    declared.services = { engines, desk };
    board.SetRoutes(std::make_shared<const routes::route_table>(declared));
    for (const std::string number : { "0", "1", "2" }) {
      board.Fleet().Put(Member("head-" + number, "g" + number, 0, fleet::member_phase::open));
      board.Fleet().Put(Member("tail-" + number, "g" + number, 1, fleet::member_phase::ready));
      board.Fleet().Put(Desk("desk-" + number));
    }
    board.FleetChanged();
  }

  static routes::engine_profile Engine()
  {
    routes::engine_profile engine;
    engine.slots = 17;
    engine.models = { { { "pair" }, 2, 1, 1, 12_s, 1_s } };
    engine.stepMs = 8;
    engine.usualOutput = 150;
    engine.stepPerRequestMs = 0.1;
    engine.readPerSecond = 45900;
    engine.chunkTokens = 2048;
    engine.stride = 5;
    return engine;
  }

  static fleet::instance Member(const std::string& aId,
                                const std::string& aGroup,
                                std::size_t aRank,
                                fleet::member_phase aPhase)
  {
    fleet::instance made;
    made.id = { aId };
    made.service = { "llm" };
    made.life = { 1 };
    made.model = { "pair" };
    made.slots = 17;
    made.member = fleet::membership{ { aGroup }, { 1 }, aRank, aPhase };
    return made;
  }

  static fleet::instance Desk(const std::string& aId)
  {
    fleet::instance made;
    made.id = { aId };
    made.service = { "desk" };
    made.life = { 1 };
    made.slots = 6;
    made.zone = { "here" };
    return made;
  }

  static choice_request PairRequest()
  {
    choice_request request;
    request.service = { "llm" };
    request.model = { "pair" };
    request.promptTokens = 700;
    return request;
  }

  static choice_request PlainRequest()
  {
    choice_request request;
    request.service = { "desk" };
    return request;
  }
};

} // namespace persimmon::dispatch
